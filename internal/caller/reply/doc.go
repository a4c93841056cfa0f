// Package reply provides what the HTTP handlers for callers share: errors in
// OpenAI's format with the outcome of the request, bearer token authentication,
// request IDs, size limits for request bodies, and a cache of recent values with
// bounded size and age.
package reply
