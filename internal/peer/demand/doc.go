// Package demand replicates the demand of each workspace, as measured by each
// instance, so that the instances together enforce the workspace's limits.
package demand
