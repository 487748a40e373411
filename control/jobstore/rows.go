// Package jobstore defines the durable rows of the batch scheduler: their keys and
// encodings, a replica that is kept up to date from the store, and a writer that
// determines whether a write without a response has taken effect.
package jobstore

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// OwnerKey is the key of the owner's row. Each transaction of the owner replaces the
// row conditionally on its version, which orders the transactions and fences
// earlier owners.
const OwnerKey = "owner"

// Prefixes of the other keys.
const (
	jobPrefix    = "j/"
	statePrefix  = "s/"
	cancelPrefix = "c/"
	workerPrefix = "w/"
	entryPrefix  = "e/"
	// tombstonePrefix is that of a Tombstone.
	tombstonePrefix = "x/"
	// stateEnd is the first key after all job states.
	stateEnd = "s0"
)

// JobKey returns the key of an accepted job's row, which an entry writes once.
func JobKey(id ident.Job) string { return jobPrefix + string(id) }

// StateKey returns the key of a job's durable state, which the owner writes.
func StateKey(id ident.Job) string { return statePrefix + string(id) }

// CancelKey returns the key of a job's cancellation, which an entry writes once.
func CancelKey(id ident.Job) string { return cancelPrefix + string(id) }

// WorkerKey returns the key of a worker's row, which its agent writes.
func WorkerKey(id ident.Worker) string { return workerPrefix + string(id) }

// EntryKey returns the key of an entry's row, which the entry writes when it starts.
func EntryKey(id ident.Entry) string { return entryPrefix + string(id) }

// Owner is the content of the owner's row.
type Owner struct {
	Epoch ident.Epoch `json:"epoch"`
	Entry ident.Entry `json:"entry"`
	// Incarnation distinguishes the processes of one entry across restarts.
	Incarnation ident.Incarnation `json:"life"`
	// Sequence counts the transactions of the epoch.
	Sequence uint64 `json:"seq"`
	// CPUShare is the share of a core that the owner may use.
	CPUShare float64 `json:"power,omitempty"`
	// Released is set when the owner has released the ownership.
	Released bool `json:"vacant,omitempty"`
	// LeaseEnds holds until the next transaction of the owner, or of its successor, is durable.
	// It is not changed in place. Rows of older versions of the program have none.
	LeaseEnds batch.LeaseEnds `json:"ends,omitempty"`
	// OpenStarts is nil in rows of older versions of the program: it is not known then. It is
	// not changed in place.
	OpenStarts *batch.OpenStarts `json:"open,omitempty"`
	// Backlog is an encoded admission.Backlog, or empty. It is decoded apart from the row, so
	// that one that can't be read costs nothing else. It is not changed in place.
	Backlog json.RawMessage `json:"load,omitempty"`
}

// Worker is the content of a worker's row.
type Worker struct {
	// Address is the IP address and port of the agent.
	Address string           `json:"addr"`
	Info    batch.WorkerInfo `json:"info"`
}

// validate returns an error of kind Corrupt if the row of a worker cannot be true.
func (w *Worker) validate(id ident.Worker) error {
	if w.Info.ID != id {
		return errkind.New(errkind.Corrupt, "the row of worker %s names %q", id, w.Info.ID)
	}
	if err := w.Info.Validate(); err != nil {
		return errkind.Wrap(errkind.Corrupt, err, "row of worker "+string(id))
	}
	return checkAddress(w.Address)
}

// checkAddress returns an error of kind Corrupt for anything but an IP address and port.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return errkind.New(errkind.Corrupt, "%q is not an IP address and port", address)
	}
	return nil
}

// Entry is the content of an entry's row.
type Entry struct {
	// Address is the IP address and port for other entries.
	Address string `json:"addr"`
}

// Encode returns the encoded content of a row.
func Encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	return raw, errkind.Wrap(errkind.Internal, err, "encode row")
}

func decode(row rows.Row, into any) error {
	return errkind.Wrap(errkind.Corrupt, json.Unmarshal(row.Value, into), "decode row "+row.Key)
}

// splitKey splits a key into its prefix and the name after it. A key without a
// slash is all prefix.
func splitKey(key string) (prefix, name string) {
	slash := strings.IndexByte(key, '/')
	if slash < 0 {
		return key, ""
	}
	return key[:slash+1], key[slash+1:]
}
