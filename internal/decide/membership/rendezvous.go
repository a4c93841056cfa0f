package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the owner of key among ids by rendezvous hashing, or "" if ids is
// empty. The result does not depend on the order of ids, and removing an ID moves
// only the keys that it owned.
func Owner(key uint64, ids []string) string {
	owner, best := "", uint64(0)
	for _, id := range ids {
		if s := score(key, id); owner == "" || s > best || s == best && id < owner {
			owner, best = id, s
		}
	}
	return owner
}

// Owners returns the n of ids with the highest rendezvous scores for key, highest
// first, or all of them if there are fewer.
func Owners(key uint64, ids []string, n int) []string {
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return ids[:min(n, len(ids))]
}

func score(key uint64, id string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	var d xxhash.Digest
	d.Reset()
	// Write on a Digest never fails.
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
