package move

// Choose reports whether the request with the given hash goes to the new
// version at that share. A request that does so at one share does so at every
// higher one, so that a conversation doesn't move back and forth as the share
// grows.
func Choose(share float64, hash uint64) bool {
	if share <= 0 {
		return false
	}
	if share >= 1 {
		return true
	}
	return float64(hash>>11) < share*(1<<53)
}
