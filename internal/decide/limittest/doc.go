// Package limittest measures load shedding in a simulation of a fleet whose single
// queue is shared by one large and several small workspaces.
package limittest
