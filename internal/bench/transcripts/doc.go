// Package transcripts tests sessions of clients and operators end to end against an
// in-process deployment. Each session is a list of steps. Its transcript is
// compared with a golden file in testdata; go test -update rewrites the file.
package transcripts
