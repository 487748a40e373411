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
	// version or limited the deltas.
	Body []byte
	// Base is the version that the first delta applies to. It is zero if that is the
	// compressed body.
	Base   ident.ConfigVersion
	Deltas [][]byte
	// Age is the time since the sender last confirmed that the version was in
	// force.
	Age time.Duration
	// Position is the version of the store up to which the configuration has all
	// changes. A watch of the store can continue from there. It is zero where the store
	// keeps no versions.
	Position rows.Version
	// ConfirmedBy is the address of the entry that knew from the store, Age ago, that the
	// version was in force. It is empty where other processes do not need it.
	ConfirmedBy string
}

// FetchRequest is a request for a peer's configuration.
type FetchRequest struct {
	// AtLeast is the lowest version that the requester needs.
	AtLeast ident.ConfigVersion
	// Have is the version that the requester holds; deltas may start from it.
	Have ident.ConfigVersion
	// Wait is how long the peer may wait for the version that the requester needs.
	Wait time.Duration
	// DeltaLimit is the largest size, in bytes, of the deltas that the reply may have
	// instead of a body. Zero means deltas of any size or else the body.
	DeltaLimit int
}

// InlineDeltas is the limit for a process that asks several others for their versions. It
// covers a chain of deltas of one record each. Larger content is requested from one of
// them, so that it is transferred once.
const InlineDeltas = 8 << 10

// ContentSize returns the number of bytes of the body or the deltas.
func (v Versioned) ContentSize() int {
	n := len(v.Body)
	for _, d := range v.Deltas {
		n += len(d)
	}
	return n
}

// WithContent returns v with the content for a request: deltas if the chain has them,
// otherwise the body, as far as the request allows.
func (v Versioned) WithContent(req FetchRequest, chain *Chain, body []byte) Versioned {
	if deltas := chain.Since(req.Have); len(deltas) > 0 {
		v.Base, v.Deltas = req.Have, deltas
	} else if req.DeltaLimit == 0 {
		v.Body = body
	}
	if req.DeltaLimit > 0 && v.ContentSize() > req.DeltaLimit {
		v.Base, v.Deltas = 0, nil
	}
	return v
}

// Pack returns v with its body compressed.
func (v Versioned) Pack() (Versioned, error) {
	packed, err := Delta(nil, v.Body)
	if err != nil {
		return v, err
	}
	v.Body, v.Base, v.Deltas = nil, 0, [][]byte{packed}
	return v, nil
}

// Digest returns the hexadecimal SHA-256 of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
