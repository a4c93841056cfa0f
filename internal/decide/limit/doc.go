// Package limit admits or rejects requests: by rate and concurrency per
// workspace and entry, and by load before queues grow.
package limit
