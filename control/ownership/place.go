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
	inRegion  bool
	otherZone bool
	score     uint64
}

// place returns the entry that should own the partition: the highest score
// among the live entries of its region, those outside its zone first. Entries
// of other regions own it only while its region has none, so that a partition
// is never without an owner.
func place(spec PartitionSpec, live []Session) (Session, bool) {
	var best candidate
	found := false
	for _, s := range live {
		if s.State != SessionLive {
			continue
		}
		c := candidate{
			session:   s,
			inRegion:  s.Region == spec.Region,
			otherZone: s.Zone != spec.Zone,
			score:     score(string(spec.ID), s.Entry),
		}
		if !found || compareCandidates(c, best) > 0 {
			best, found = c, true
		}
	}
	return best.session, found
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBool(a.inRegion, b.inRegion),
		compareBool(a.otherZone, b.otherZone),
		cmp.Compare(a.score, b.score),
		cmp.Compare(a.session.Entry, b.session.Entry))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
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
