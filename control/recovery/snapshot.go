// Package recovery rebuilds the state of a partition for a new owner from the
// newest undamaged snapshot, the job rows and the reports of the workers.
package recovery

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// formatVersion is the version of the snapshot format that this code writes
// and reads.
const formatVersion = 1

// retainedSnapshots is the number of snapshots kept in the object store, so that
// an older one can be used if the newest is damaged.
const retainedSnapshots = 3

// Snapshot is the compacted state of a partition.
type Snapshot struct {
	Partition ident.Partition `json:"partition"`
	Epoch     ident.Epoch     `json:"epoch"`
	// Jobs holds every job, including those whose rows have been deleted.
	Jobs []executor.JobRecord `json:"jobs"`
	// Estimates holds the estimates of the scheduler, in the scheduler's format.
	Estimates json.RawMessage `json:"estimates,omitempty"`
}

// header is the first line of a stored snapshot.
type header struct {
	Format int    `json:"format"`
	SHA256 string `json:"sha256"`
	Length int    `json:"length"`
}

// Encode returns the stored form of a snapshot: a header line and the body.
func Encode(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode snapshot")
	}
	sum := sha256.Sum256(body)
	head, err := json.Marshal(header{formatVersion, hex.EncodeToString(sum[:]), len(body)})
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode snapshot header")
	}
	return slices.Concat(head, []byte{'\n'}, body), nil
}

// Decode verifies and reads the stored form of a snapshot. It returns an error
// of kind Corrupt if the snapshot is damaged or of another format version.
func Decode(stored []byte) (Snapshot, error) {
	var s Snapshot
	var head header
	line, body, found := bytes.Cut(stored, []byte{'\n'})
	if !found || json.Unmarshal(line, &head) != nil {
		return s, errkind.New(errkind.Corrupt, "snapshot has no header")
	}
	if head.Format != formatVersion {
		return s, errkind.New(errkind.Corrupt, "snapshot format %d is not %d", head.Format, formatVersion)
	}
	sum := sha256.Sum256(body)
	if head.Length != len(body) || head.SHA256 != hex.EncodeToString(sum[:]) {
		return s, errkind.New(errkind.Corrupt, "snapshot does not match its checksum")
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, errkind.Wrap(errkind.Corrupt, err, "decode snapshot")
	}
	return s, nil
}

func snapshotPrefix(partition ident.Partition) string {
	return "snapshot/" + string(partition) + "/"
}

// snapshotKey orders the snapshots of a partition by epoch and then by sequence
// number, so that a snapshot that a previous owner writes late never sorts as the
// newest.
func snapshotKey(partition ident.Partition, epoch ident.Epoch, sequence uint64) string {
	return fmt.Sprintf("%s%016x-%08x", snapshotPrefix(partition), uint64(epoch), sequence)
}

// Event is the name of a counted recovery or snapshot event.
type Event string

// The events.
const (
	// EventSnapshotWritten counts stored snapshots.
	EventSnapshotWritten Event = "snapshot_written"
	// EventSnapshotFailed counts snapshots that could not be stored or read.
	EventSnapshotFailed Event = "snapshot_failed"
	// EventSnapshotDamaged counts snapshots that were skipped as damaged or of
	// another partition.
	EventSnapshotDamaged Event = "snapshot_damaged"
	// EventRowDamaged counts job rows that could not be decoded.
	EventRowDamaged Event = "row_damaged"
	// EventRebuilt counts partitions that were rebuilt.
	EventRebuilt Event = "rebuilt"
	// EventRebuildRetried counts failed rebuilds.
	EventRebuildRetried Event = "rebuild_retried"
	// EventWorkerUnreachable counts workers that did not confirm the epoch during a
	// rebuild.
	EventWorkerUnreachable Event = "worker_unreachable"
)

// loadNewest returns the newest snapshot that is not damaged, or an empty one if
// there is none.
func loadNewest(ctx context.Context, store infra.ObjectStore, partition ident.Partition, count func(Event)) (Snapshot, error) {
	keys, err := store.List(ctx, snapshotPrefix(partition))
	if err != nil {
		return Snapshot{}, err
	}
	for _, key := range slices.Backward(keys) {
		stored, err := store.Get(ctx, key)
		if errkind.Is(err, errkind.NotFound) {
			continue
		}
		if err != nil {
			return Snapshot{}, err
		}
		s, err := Decode(stored)
		if err == nil && s.Partition == partition {
			return s, nil
		}
		count(EventSnapshotDamaged)
	}
	return Snapshot{Partition: partition}, nil
}
