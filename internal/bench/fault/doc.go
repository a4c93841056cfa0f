// Package fault implements the faults that tests inject into fake servers.
package fault
