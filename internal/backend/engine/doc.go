// Package engine is a client of the model engines.
package engine
