// Package rendezvous ranks members for a subject so that all processes agree on the
// order without communication, and a lost member only moves those behind it.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns the weight of a member for a subject. The FNV hash is mixed further,
// because its high bits depend little on the last characters.
func Score(subject, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the members in descending order of their weights for a subject.
func Rank(subject string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(subject, b), Score(subject, a)), cmp.Compare(a, b))
	})
	return ranked
}
