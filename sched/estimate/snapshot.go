package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// snapshotFormat is the version of the snapshot format. It changes when a stored
// snapshot could be misread, for example when the bounds of the buckets change.
const snapshotFormat = 1

// Snapshot is the serialized state of an Estimator.
type Snapshot struct {
	Format  int             `json:"format"`
	Classes []ClassSnapshot `json:"classes"`
}

// ClassSnapshot holds the samples of one service and size class.
type ClassSnapshot struct {
	Service     ident.Service  `json:"service"`
	Size        int            `json:"size"`
	RunTime     []BucketWeight `json:"run_time,omitempty"`
	Ratio       []BucketWeight `json:"ratio,omitempty"`
	Memory      []BucketWeight `json:"memory,omitempty"`
	Overrun     time.Duration  `json:"overrun_ns,omitempty"`
	OverrunLeft int            `json:"overrun_left,omitempty"`
}

// BucketWeight is the weight of one bucket of a histogram.
type BucketWeight struct {
	Bucket int     `json:"bucket"`
	Weight float32 `json:"weight"`
}

// Snapshot returns the state, with the classes from the least recently updated
// one to the most recent.
func (e *Estimator) Snapshot() Snapshot {
	keys := make([]classKey, 0, len(e.classes))
	for key := range e.classes {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b classKey) int {
		return cmp.Compare(e.classes[a].lastUpdate, e.classes[b].lastUpdate)
	})
	snapshot := Snapshot{Format: snapshotFormat}
	for _, key := range keys {
		c := e.classes[key]
		snapshot.Classes = append(snapshot.Classes, ClassSnapshot{
			Service: key.service, Size: key.size,
			RunTime: c.runTime.export(), Ratio: c.ratio.export(), Memory: c.memory.export(),
			Overrun: c.overrun, OverrunLeft: c.overrunLeft,
		})
	}
	return snapshot
}

// Restore replaces the state. On an error, which is of kind Corrupt, the state
// stays unchanged.
func (e *Estimator) Restore(snapshot Snapshot) error {
	if snapshot.Format != snapshotFormat {
		return errkind.New(errkind.Corrupt, "estimate snapshot has format %d, expected %d", snapshot.Format, snapshotFormat)
	}
	restored := New()
	for _, stored := range snapshot.Classes {
		if err := restored.restoreClass(stored); err != nil {
			return err
		}
	}
	*e = *restored
	return nil
}

// restoreClass adds one class of a snapshot.
func (e *Estimator) restoreClass(stored ClassSnapshot) error {
	c := e.classForUpdate(classKey{stored.Service, stored.Size})
	c.overrun, c.overrunLeft = stored.Overrun, stored.OverrunLeft
	parts := []struct {
		into *histogram
		from []BucketWeight
	}{{&c.runTime, stored.RunTime}, {&c.ratio, stored.Ratio}, {&c.memory, stored.Memory}}
	for _, part := range parts {
		if err := part.into.restore(part.from); err != nil {
			return errkind.Wrap(errkind.Corrupt, err, "estimate snapshot of service "+string(stored.Service))
		}
	}
	return nil
}

// export returns the buckets with a positive weight.
func (h *histogram) export() []BucketWeight {
	var out []BucketWeight
	for i, weight := range h.weights {
		if weight > 0 {
			out = append(out, BucketWeight{i, weight})
		}
	}
	return out
}

// restore sets the weights of the given buckets.
func (h *histogram) restore(buckets []BucketWeight) error {
	for _, b := range buckets {
		if b.Bucket < 0 || b.Bucket >= bucketCount {
			return errkind.New(errkind.Corrupt, "bucket %d does not exist", b.Bucket)
		}
		if !(b.Weight >= 0) || math.IsInf(float64(b.Weight), 0) {
			return errkind.New(errkind.Corrupt, "bucket %d has weight %v", b.Bucket, b.Weight)
		}
		h.weights[b.Bucket] = b.Weight
	}
	return nil
}
