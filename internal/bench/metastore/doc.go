// Package metastore implements fakes of two parts of the platform API for tests:
// the key-value service, with injectable faults, and the cloud API that receives
// capacity requests and usage reports.
package metastore
