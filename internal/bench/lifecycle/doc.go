// Package lifecycle keeps a fake backend server in the instance list and ends
// it when the platform reclaims its instance.
package lifecycle
