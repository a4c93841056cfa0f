package limit

// Share returns the share of limit for an instance with demand own, where others
// are the demands of all other instances. It is the max-min fair share: an
// instance with low demand gets its demand, and the rest is divided equally. What
// no instance demands is divided equally as well. The shares of instances that
// know the same demands sum to limit.
func Share(limit, own float64, others []float64) float64 {
	if limit <= 0 {
		return 0
	}
	own = max(own, 0)
	total, n := own, float64(len(others)+1)
	for _, d := range others {
		total += max(d, 0)
	}
	if total <= limit {
		return own + (limit-total)/n
	}
	return min(own, fairLevel(limit, own, others))
}

// fairLevel returns the highest demand that is met in full when the demands exceed
// limit. Each round raises the level to an equal share of what the satisfied
// demands leave. The set of satisfied demands only grows, so there is at most one
// round per demand.
func fairLevel(limit, own float64, others []float64) float64 {
	level := limit / float64(len(others)+1)
	for {
		remaining, unmet := limit, 0.0
		add := func(d float64) {
			if d <= level {
				remaining -= max(d, 0)
			} else {
				unmet++
			}
		}
		add(own)
		for _, d := range others {
			add(d)
		}
		if unmet == 0 || remaining/unmet <= level {
			return level
		}
		level = remaining / unmet
	}
}
