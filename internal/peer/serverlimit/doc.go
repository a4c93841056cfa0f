// Package serverlimit replicates between instances the limits that backend servers name in
// their responses.
package serverlimit
