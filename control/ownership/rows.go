package ownership

import (
	"encoding/json"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// Key prefixes of the rows that this package writes.
const (
	sessionPrefix   = "session/"
	partitionPrefix = "partition/"
)

// SessionState determines whether an entry may own partitions.
type SessionState string

// The states of a session.
const (
	// SessionLive means that the entry renews the session and may own partitions.
	SessionLive SessionState = "live"
	// SessionLeaving means that the entry renews the session, but acquires no more
	// partitions.
	SessionLeaving SessionState = "leaving"
	// SessionBroken means that another entry has marked the session as expired,
	// because it was not renewed within its TTL.
	SessionBroken SessionState = "broken"
)

// Session is the content of an entry's session row.
type Session struct {
	Entry       ident.Entry       `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Zone        ident.Zone        `json:"zone"`
	Region      ident.Region      `json:"region"`
	// Address is the entry's gRPC address.
	Address string       `json:"address"`
	State   SessionState `json:"state"`
}

// PartitionRow is the content of a partition's row.
type PartitionRow struct {
	Partition ident.Partition `json:"partition"`
	Epoch     ident.Epoch     `json:"epoch"`
	Owner     ident.Entry     `json:"owner"`
	// Incarnation identifies the session of the owner. A later session of the same
	// entry does not own the partition.
	Incarnation ident.Incarnation `json:"incarnation"`
}

// SessionKey returns the key of an entry's session row.
func SessionKey(entry ident.Entry) string { return sessionPrefix + string(entry) }

// PartitionKey returns the key of a partition's row.
func PartitionKey(id ident.Partition) string { return partitionPrefix + string(id) }

func decodeRow[T any](row infra.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, errkind.Wrap(errkind.Corrupt, err, "decode row "+row.Key)
	}
	return value, nil
}

// putRow returns an operation that writes a row if it still has the given
// version. Marshalling the row types of this package cannot fail.
func putRow(key string, version infra.RowVersion, value any) infra.Op {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return infra.Op{Kind: infra.OpPut, Key: key, IfVersion: version, Value: raw}
}
