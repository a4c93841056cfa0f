// Package platform implements a fake of the platform API with injectable
// faults: the key-value service, the instance list, the cloud API and the
// weight store.
package platform
