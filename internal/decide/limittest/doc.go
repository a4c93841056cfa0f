// Package limittest measures load shedding on a model of a fleet with one queue
// that one large and several small workspaces share.
package limittest
