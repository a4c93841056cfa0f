// Package engine is a small fake of a model engine.
package engine
