// Package peerpb holds the generated messages and service stubs that entry
// instances use between each other.
package peerpb
