// Package poison identifies requests, and parts of prompts, that crash the backend
// servers that run them.
package poison
