// Package version names the version of the two programs.
package version

// Number is the version of this source tree.
const Number = "0.1.0"
