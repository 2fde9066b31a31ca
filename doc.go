// Package sycamoreramp holds the values and interfaces of a query tier between
// callers and the shards of search services.
//
// Values are immutable: a method that modifies a value returns a modified copy.
// Behaviour that varies is declared here as an interface and implemented in the
// packages below.
// Shared state is kept in tables whose lock order is given by [Rank], and all work
// on backend servers runs on a [Pool]. Nothing here encodes messages.
package sycamoreramp
