package poison

import "slices"

// Allowed reports whether a request may run on a backend server on which the
// given number of other suspects are in flight. A suspect runs apart from other
// suspects: if two were on a server that crashes, both would get the verdict
// Poison, although at most one caused the crash. A suspect may run beside clear
// requests; if it does crash the server, they only become suspects. An innocent
// request gets the verdict Poison only if it is in flight at crashes caused by
// two different poison requests. A request that runs on several servers at once
// before its first crash can crash each of them.
func Allowed(v Verdict, suspects int) bool {
	switch v {
	case Clear:
		return true
	case Suspect:
		return suspects == 0
	}
	return false
}

// AssignedServers returns the servers that a suspect may use, so that all instances keep
// the suspects of one crash apart without exchanging messages: each instance
// knows the same suspects and assigns the servers to them in the same order. It
// returns all servers if the request is not among the suspects. Both lists must
// be sorted.
func AssignedServers(fingerprint uint64, suspects []uint64, servers []string) []string {
	rank, found := slices.BinarySearch(suspects, fingerprint)
	numParts := min(len(suspects), len(servers))
	if !found || numParts < 2 {
		return servers
	}
	part := make([]string, 0, len(servers)/numParts+1)
	for i, id := range servers {
		if i%numParts == rank%numParts {
			part = append(part, id)
		}
	}
	return part
}

// Exclude appends to ids the backend servers that must not run a request with
// verdict v and returns the extended slice. suspects holds the number of
// suspects in flight on each server.
func Exclude(v Verdict, suspects map[string]int, ids []string) []string {
	for id, n := range suspects {
		if !Allowed(v, n) {
			ids = append(ids, id)
		}
	}
	return ids
}
