// Package service implements a fake plain service with injectable faults.
package service
