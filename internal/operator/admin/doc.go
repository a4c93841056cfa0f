// Package admin implements the operators' commands: it reads and replaces the
// catalogue in the store and collects the status of the entry instances.
package admin
