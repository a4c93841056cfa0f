// Package rest makes bounded HTTP calls to the platform API for the packages
// kv, instances and cloud.
package rest
