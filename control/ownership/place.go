package ownership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// PartitionSpec is a partition that the configuration names.
type PartitionSpec struct {
	ID     ident.Partition
	Zone   ident.Zone
	Region ident.Region
}

// candidate is an entry that can own partitions.
type candidate struct {
	session   Session
	otherZone bool
	score     uint64
}

// place returns the entry that should own the partition: the highest score
// among the live entries of its region, those outside its zone first.
func place(spec PartitionSpec, live []Session) (Session, bool) {
	var best candidate
	found := false
	for _, s := range live {
		if s.Region != spec.Region || s.State != SessionLive {
			continue
		}
		c := candidate{s, s.Zone != spec.Zone, score(string(spec.ID), s.Entry)}
		if !found || compareCandidates(c, best) > 0 {
			best, found = c, true
		}
	}
	return best.session, found
}

func compareCandidates(a, b candidate) int {
	if a.otherZone != b.otherZone {
		if a.otherZone {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.session.Entry, b.session.Entry))
}

// rank returns the place of an entry in the order in which the live entries
// act on a subject, so that they do not race for it.
func rank(subject string, self ident.Entry, live []Session) int {
	ordered := slices.Clone(live)
	slices.SortFunc(ordered, func(a, b Session) int {
		return cmp.Or(
			cmp.Compare(score(subject, b.Entry), score(subject, a.Entry)),
			cmp.Compare(a.Entry, b.Entry))
	})
	return slices.IndexFunc(ordered, func(s Session) bool { return s.Entry == self })
}

// score is the rendezvous weight of an entry for a subject. The sum of FNV is
// mixed, because its high bits depend little on the last characters.
func score(subject string, entry ident.Entry) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
