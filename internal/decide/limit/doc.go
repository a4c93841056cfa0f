// Package limit implements admission control: rate and concurrency limits per
// workspace and entry, usage allowances, and load shedding before queues grow.
package limit
