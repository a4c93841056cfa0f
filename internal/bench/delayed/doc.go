// Package delayed provides values that become visible to readers after a delay.
// The fakes use them to simulate the delayed reports of external systems.
package delayed
