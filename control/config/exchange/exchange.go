// Package exchange defines how processes pass configurations to each other: as deltas
// to a receiver that is a few versions behind, otherwise whole, always with a digest.
package exchange

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// Versioned is a configuration as peers exchange it.
type Versioned struct {
	Version ident.ConfigVersion
	Digest  string
	// Body is empty when Deltas are set, or when the receiver requested a higher
	// version or deltas only.
	Body []byte
	// Base is the version that the first delta applies to.
	Base   ident.ConfigVersion
	Deltas [][]byte
	// Age is the time since the sender last confirmed that the version was in
	// force.
	Age time.Duration
	// Position is the version of the store up to which the configuration has all
	// changes. A watch of the store can continue from there. It is zero where the store
	// keeps no versions.
	Position rows.Version
}

// FetchRequest is a request for a peer's configuration.
type FetchRequest struct {
	// AtLeast is the lowest version that the requester needs.
	AtLeast ident.ConfigVersion
	// Have is the version that the requester holds; deltas may start from it.
	Have ident.ConfigVersion
	// Wait is how long the peer may wait for the version that the requester needs.
	Wait time.Duration
	// DeltasOnly is set if the requester fetches a whole body with a request of its
	// own.
	DeltasOnly bool
}

// Digest returns the hexadecimal SHA-256 of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
