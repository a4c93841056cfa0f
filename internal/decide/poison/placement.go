package poison

import "slices"

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

// Part returns the servers that a suspect may use so that all instances keep
// the suspects of one crash apart without messages: each knows the same suspects
// and deals the servers out among them in the same order. It returns all servers
// if the request is not among the suspects. Both lists must be sorted.
func Part(fingerprint uint64, suspects []uint64, servers []string) []string {
	rank, found := slices.BinarySearch(suspects, fingerprint)
	parts := min(len(suspects), len(servers))
	if !found || parts < 2 {
		return servers
	}
	part := make([]string, 0, len(servers)/parts+1)
	for i, id := range servers {
		if i%parts == rank%parts {
			part = append(part, id)
		}
	}
	return part
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
