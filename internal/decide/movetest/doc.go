// Package movetest measures move policies on a model of version moves: seeded
// traffic with load, reclaim waves and faulty versions, and failure domains
// whose counters reach each other late.
package movetest
