// Package precheck checks a routing table before an operator sends it: for entries
// that can never match, limits that contradict each other, and differences from the
// version in effect.
package precheck
