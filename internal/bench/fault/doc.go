// Package fault keeps the faults that tests inject into the fakes.
package fault
