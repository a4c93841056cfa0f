package poison

// Allowed reports whether a request may run on a backend server on which that
// many other suspects are in flight. A suspect runs apart from other suspects:
// were two on a server that crashes, both would be taken for poison, and at
// most one is. A suspect may run beside clear requests; if it does crash the
// server, they become suspects only. An innocent request is condemned only if
// it is in flight at crashes by two different poison requests. A request that
// runs on several servers at once before its first crash can crash each of them.
func Allowed(v Verdict, suspects int) bool {
	switch v {
	case Clear:
		return true
	case Suspect:
		return suspects == 0
	}
	return false
}

// Exclude appends to ids the backend servers that must not run a request with
// verdict v, given the number of suspects in flight on each, and returns it.
func Exclude(v Verdict, suspects map[string]int, ids []string) []string {
	for id, n := range suspects {
		if !Allowed(v, n) {
			ids = append(ids, id)
		}
	}
	return ids
}
