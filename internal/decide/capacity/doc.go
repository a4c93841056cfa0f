// Package capacity decides how many backend servers of each kind a service
// should have in each failure domain.
package capacity
