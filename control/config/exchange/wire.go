package exchange

import (
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// FromProto converts a configuration received from a peer.
func FromProto(m *rpc.Config) Versioned {
	return Versioned{
		Version: ident.ConfigVersion(m.GetVersion()),
		Digest:  m.GetDigest(),
		Body:    m.GetBody(),
		Base:    ident.ConfigVersion(m.GetBaseVersion()),
		Deltas:  m.GetDeltas(),
		Age:     time.Duration(m.GetAgeMs()) * time.Millisecond,

		Position:    rows.Version(m.GetPosition()),
		ConfirmedBy: m.GetConfirmedBy(),
	}
}

// Proto converts v to the message sent to a peer.
func (v Versioned) Proto() *rpc.Config {
	return &rpc.Config{
		Version:     uint64(v.Version),
		Digest:      v.Digest,
		Body:        v.Body,
		BaseVersion: uint64(v.Base),
		Deltas:      v.Deltas,
		AgeMs:       AgeMillis(v.Age),
		Position:    uint64(v.Position),
		ConfirmedBy: v.ConfirmedBy,
	}
}

// AgeMillis rounds an age up to milliseconds, so that relaying never lowers it.
func AgeMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// RequestFromProto converts a request received from a peer.
func RequestFromProto(m *rpc.FetchConfigRequest) FetchRequest {
	return FetchRequest{
		AtLeast:    ident.ConfigVersion(m.GetAtLeast()),
		Have:       ident.ConfigVersion(m.GetHave()),
		Wait:       time.Duration(m.GetWaitMs()) * time.Millisecond,
		DeltaLimit: int(m.GetDeltaLimit()),
	}
}

// Proto converts the request to the message sent to a peer.
func (r FetchRequest) Proto() *rpc.FetchConfigRequest {
	return &rpc.FetchConfigRequest{
		AtLeast: uint64(r.AtLeast), Have: uint64(r.Have), WaitMs: r.Wait.Milliseconds(), DeltaLimit: uint32(r.DeltaLimit),
	}
}
