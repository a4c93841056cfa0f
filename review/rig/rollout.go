package main

import (
	"strings"
	"time"
)

// order writes the operator's order to move the traffic of sack-assist.
func (d *deployment) order(version string, seconds int) time.Time {
	d.store.write("op/rollout/sack-assist", map[string]any{"service": "sack-assist", "target_version": version, "duration_s": seconds})
	d.log("the operator orders %s within %d s", version, seconds)
	return time.Now()
}

// status returns the status of the roll-out to a version that the operator reads.
func (d *deployment) status(version string) string {
	s := d.store.value("status/rollout/sack-assist")
	if !strings.Contains(s, `"target_version":"`+version+`"`) {
		return ""
	}
	for _, state := range []string{"in_progress", "complete", "reverted"} {
		if strings.Contains(s, state) {
			return state
		}
	}
	return ""
}
