// Package movetest measures move policies on a simulation of version moves:
// seeded traffic with varying load, reclaim waves and faulty versions, and
// failure domains that receive each other's counters with a delay.
package movetest
