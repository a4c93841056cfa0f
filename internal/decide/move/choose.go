package move

// UsesNewVersion reports whether the request with the given hash goes to the new
// version at the given traffic share. A request that goes to the new version at
// one share does so at every higher share, so a conversation doesn't switch
// back and forth as the share grows.
func UsesNewVersion(share float64, hash uint64) bool {
	if share <= 0 {
		return false
	}
	if share >= 1 {
		return true
	}
	return float64(hash>>11) < share*(1<<53)
}
