// Package platform is a small fake of the platform API: the key-value service,
// the instance list, the cloud API and the weight store.
package platform
