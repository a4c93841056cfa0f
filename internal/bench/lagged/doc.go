// Package lagged holds values that readers see only after a delay, like the
// reports of the external systems that the fakes stand in for.
package lagged
