// Package demand replicates between instances the measured demand of each
// workspace, so that together they enforce the workspace's limits.
package demand
