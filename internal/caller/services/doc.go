// Package services forwards calls of clients to plain services, the entries of the
// catalogue that are not language models, below /v1/services/. A call that must
// not be repeated is recorded in the journal before a byte of it is sent.
package services
