// Package services forwards calls of clients to plain services. A call that must
// not be repeated is recorded in the journal before a byte of it is sent.
package services
