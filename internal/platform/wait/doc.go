// Package wait provides delays and periodic calls that end with a context.
package wait
