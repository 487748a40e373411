package config

import (
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// maxChainDeltas is the largest number of deltas kept. With one change in six
// seconds they cover a minute and a half.
const maxChainDeltas = 16

// deltaChain keeps the newest deltas, so that peers a few versions behind need not
// fetch the full body.
type deltaChain struct{ deltas []versionDelta }

// versionDelta is the change from one version to another.
type versionDelta struct {
	from, to ident.ConfigVersion
	delta    []byte
}

func (c *deltaChain) add(before, after Snapshot, delta []byte) {
	if before.Version == 0 {
		return
	}
	if len(delta) == 0 {
		delta = sheet.Delta(before.Sheet, after.Sheet)
	}
	c.deltas = append(c.deltas, versionDelta{before.Version, after.Version, delta})
	if len(c.deltas) > maxChainDeltas {
		c.deltas = c.deltas[1:]
	}
}

// since returns the deltas from a version to the newest one, or none when the
// chain does not contain the version.
func (c *deltaChain) since(have ident.ConfigVersion) [][]byte {
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
