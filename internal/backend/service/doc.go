// Package service is a client of plain services, some of whose calls must not
// be repeated.
package service
