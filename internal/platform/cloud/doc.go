// Package cloud is a client of the platform's cloud API.
package cloud
