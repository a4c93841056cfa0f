// Package sessions tests whole sessions of clients and operators against an
// in-process deployment. Each session is a table of steps; its transcript is
// compared with a golden file in testdata, which go test -update rewrites.
package sessions
