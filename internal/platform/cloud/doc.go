// Package cloud is a client for the platform's cloud API: launching instances and
// receiving notices that instances will be reclaimed.
package cloud
