// Package demand spreads among instances how much each workspace asks for at
// each of them, so that together they keep to the workspace's limits.
package demand
