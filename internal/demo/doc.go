// Package demo holds the demonstration that make demo runs, and the test of
// the commands that the README prints.
package demo
