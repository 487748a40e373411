package config

import (
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// maxChain bounds the versions that deltas bridge; at one change in six
// seconds it covers a minute and a half.
const maxChain = 16

// deltaChain keeps the newest deltas, so that peers one or a few versions
// behind need not fetch the whole body.
type deltaChain struct{ links []link }

type link struct {
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
	c.links = append(c.links, link{before.Version, after.Version, delta})
	if len(c.links) > maxChain {
		c.links = c.links[1:]
	}
}

// since returns the deltas from a version to the newest one, or none when the
// chain does not contain the version.
func (c *deltaChain) since(have ident.ConfigVersion) [][]byte {
	for i, l := range c.links {
		if l.from != have {
			continue
		}
		var out [][]byte
		for _, next := range c.links[i:] {
			out = append(out, next.delta)
		}
		return out
	}
	return nil
}
