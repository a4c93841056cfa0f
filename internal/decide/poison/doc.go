// Package poison identifies requests that crash the backend servers that run
// them.
package poison
