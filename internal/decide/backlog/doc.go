// Package backlog counts the work that all instances have sent to backend servers.
//
// It answers the load of many instances before few servers: each instance sends a server
// one request in a second or two and sees nothing of the others', so that prompts queue at
// one server while its neighbours are idle. One instance, the tracker of a server, keeps a
// Ledger of the requests that the others are about to send there.
package backlog
