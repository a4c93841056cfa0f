// Package lifecycle keeps a fake backend server registered in the instance list
// and notifies it when the platform reclaims its instance.
package lifecycle
