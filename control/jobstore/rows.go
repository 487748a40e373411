// Package jobstore holds the durable rows of the batch scheduler: their keys
// and encodings, a replica that follows the store, and writes that find out
// whether a write without an answer has taken effect.
package jobstore

import (
	"encoding/json"
	"strings"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// OwnerKey is the row of the owner. Each transaction of the owner replaces it
// on condition of its version, which orders them and fences earlier owners.
const OwnerKey = "owner"

// The prefixes of the other keys.
const (
	jobPrefix    = "j/"
	statePrefix  = "s/"
	cancelPrefix = "c/"
	workerPrefix = "w/"
	entryPrefix  = "e/"
	// stateEnd is the first key behind all states.
	stateEnd = "s0"
)

// JobKey is the row of an accepted job; entries write it once.
func JobKey(id ident.Job) string { return jobPrefix + string(id) }

// StateKey is the row of a job's durable state; the owner writes it.
func StateKey(id ident.Job) string { return statePrefix + string(id) }

// CancelKey is the row of a job's cancellation; entries write it once.
func CancelKey(id ident.Job) string { return cancelPrefix + string(id) }

// WorkerKey is the row of a worker; its agent writes it.
func WorkerKey(id ident.Worker) string { return workerPrefix + string(id) }

// EntryKey is the row of an entry; it writes it at its start.
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
	// Released says that the owner has given up the ownership.
	Released bool `json:"vacant,omitempty"`
}

// Worker is the content of a worker's row.
type Worker struct {
	// Address is the IP address and port of the agent.
	Address string           `json:"addr"`
	Info    batch.WorkerInfo `json:"info"`
}

// Entry is the content of an entry's row.
type Entry struct {
	// Address is the IP address and port for other entries.
	Address string `json:"addr"`
}

// Encode returns the content of a row.
func Encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	return raw, errkind.Wrap(errkind.Internal, err, "encode row")
}

func decode(row rows.Row, into any) error {
	return errkind.Wrap(errkind.Corrupt, json.Unmarshal(row.Value, into), "decode row "+row.Key)
}

// kindOf splits a key into its prefix and the name behind it.
func kindOf(key string) (prefix, name string) {
	at := strings.IndexByte(key, '/')
	if at < 0 {
		return key, ""
	}
	return key[:at+1], key[at+1:]
}
