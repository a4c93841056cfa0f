// Package story finds in the logs of instances what became of one request.
package story
