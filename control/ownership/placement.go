package ownership

import (
	"cmp"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rendezvous"
)

// PartitionSpec is a configured partition.
type PartitionSpec struct {
	ID     ident.Partition
	Zone   ident.Zone
	Region ident.Region
}

// candidate is an entry that may own the partition.
type candidate struct {
	session   Session
	inRegion  bool
	otherZone bool
	score     uint64
}

// preferredOwner returns the entry that should own the partition: the live
// entry with the highest score, where entries of the partition's region go
// before others, and among them entries outside its zone. Entries of other
// regions own the partition only while its region has no live entry, so that a
// partition always has an owner.
func preferredOwner(spec PartitionSpec, live []Session) (Session, bool) {
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
			score:     rendezvous.Score(string(spec.ID), string(s.Entry)),
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

// rank returns the position of an entry in the order in which the live entries
// act on a subject, so that they do not race for it. It is -1 for an entry that
// is not live.
func rank(subject string, self ident.Entry, live []Session) int {
	ordered := slices.Clone(live)
	slices.SortFunc(ordered, func(a, b Session) int {
		return cmp.Or(
			cmp.Compare(rendezvous.Score(subject, string(b.Entry)), rendezvous.Score(subject, string(a.Entry))),
			cmp.Compare(a.Entry, b.Entry))
	})
	return slices.IndexFunc(ordered, func(s Session) bool { return s.Entry == self })
}
