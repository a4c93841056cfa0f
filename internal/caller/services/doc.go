// Package services serves clients of plain services. A call that must not be
// repeated is recorded in the journal before a byte of it leaves.
package services
