package limit

// Share returns the part of limit that belongs to the node whose demand is
// own, by max-min fairness over the demands of all nodes: a node with little
// demand gets what it needs, the rest is divided evenly. What no node needs is
// divided evenly too. The shares of nodes that know the same demands sum to
// limit.
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
	return min(own, level(limit, own, others))
}

// level returns the highest demand that is met in full when demands exceed
// limit. Each round raises it by the even part of what the satisfied demands
// leave; the set of satisfied demands only grows, so it ends after at most one
// round per demand.
func level(limit, own float64, others []float64) float64 {
	level := limit / float64(len(others)+1)
	for {
		rest, open := limit, 0.0
		add := func(d float64) {
			if d <= level {
				rest -= max(d, 0)
			} else {
				open++
			}
		}
		add(own)
		for _, d := range others {
			add(d)
		}
		if open == 0 || rest/open <= level {
			return level
		}
		level = rest / open
	}
}
