package configsync

import (
	"fmt"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rendezvous"
)

// The entries form a tree for each version of the configuration. Its first entries, the
// readers, watch the store for the next version, and every other entry watches two parents
// above it. The version determines the order, so that all entries take their turn in transferring whole
// bodies from the store.
const (
	// storeReaders is the number of readers; one of them may fail without a delay.
	storeReaders = 2
	// fanOut is the number of entries for each one above them. With two watched each,
	// 16 entries watch one, at 2 requests a second and 0.3 KB for each.
	fanOut = 8
)

// subject returns the subject by which the entries are ranked that look for the version
// after the given one.
func subject(version ident.ConfigVersion) string { return fmt.Sprintf("config/%d", version) }

// rankOf returns the place of an entry among the others that are of use to it.
func rankOf(subject, self string, useful []string) int {
	return slices.Index(rendezvous.Rank(subject, append(slices.Clone(useful), self)), self)
}

// precedes reports whether one entry ranks above another, so that it becomes a reader first.
func precedes(subject, one, other string) bool {
	return one != "" && one != other && rendezvous.Rank(subject, []string{one, other})[0] == one
}

// parentsOf returns the two of the others, which are ranked, that an entry of a rank watches:
// two above it, and the first two if it is a reader.
func parentsOf(rank int, useful []string) []string {
	first := max(0, rank-storeReaders) / fanOut &^ 1
	return slices.Clone(useful[min(first, len(useful)):min(first+2, len(useful))])
}
