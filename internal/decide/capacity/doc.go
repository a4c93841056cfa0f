// Package capacity plans how many ordinary and reclaimable backend servers a
// service should have in each failure domain.
package capacity
