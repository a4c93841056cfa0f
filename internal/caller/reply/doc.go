// Package reply holds what the handlers for callers have in common: errors in
// OpenAI's form with their outcome, bearer tokens, request IDs, bounded bodies
// and the table of recent requests by idempotency key.
package reply
