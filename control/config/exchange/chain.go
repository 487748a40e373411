package exchange

import "github.com/lacewingpier/lacewingpier/core/ident"

// maxChainDeltas is the largest number of deltas kept. With one change in six
// seconds they cover a minute and a half.
const maxChainDeltas = 16

// Chain keeps the newest deltas, so that peers a few versions behind need not fetch
// the whole body. The zero Chain is empty.
type Chain struct{ deltas []versionDelta }

// versionDelta is the change from one version to another.
type versionDelta struct {
	from, to ident.ConfigVersion
	delta    []byte
}

// Add appends the change from one version to the next one.
func (c *Chain) Add(from, to ident.ConfigVersion, delta []byte) {
	c.deltas = append(c.deltas, versionDelta{from, to, delta})
	if len(c.deltas) > maxChainDeltas {
		c.deltas = c.deltas[1:]
	}
}

// Covers reports whether a chain may hold all deltas between two versions that are
// numbered without gaps.
func Covers(from, to ident.ConfigVersion) bool { return to-from <= maxChainDeltas }

// Since returns the deltas from a version to the newest one, or none when the
// chain does not contain the version.
func (c *Chain) Since(have ident.ConfigVersion) [][]byte {
	for i, d := range c.deltas {
		if d.from != have {
			continue
		}
		var out [][]byte
		for _, next := range c.deltas[i:] {
			out = append(out, next.delta)
		}
		return out
	}
	return nil
}
