// Package engine implements a fake model engine with deterministic responses, a
// simulated prefix cache and injectable faults.
package engine
