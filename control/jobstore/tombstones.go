package jobstore

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Tombstone is the content of a row that cancels a job which was not stored when its caller
// canceled it: its submission may still be executed, or arrive. Callers choose the ids of jobs, so
// it cancels only a job that the same caller could cancel if it were stored.
type Tombstone struct {
	Job   ident.Job `json:"job"`
	Queue string    `json:"queue"`
	// Host and PathPrefix are those of the queue. Rows of older versions of the program have none.
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path,omitempty"`
	// Workspace is that of the caller, or empty without a key.
	Workspace ident.Workspace `json:"ws,omitempty"`
	// Public reports that the queue needed no key.
	Public bool `json:"public,omitempty"`
}

// NewTombstone returns a tombstone for a job that the caller cancels.
func NewTombstone(job ident.Job, c Caller) Tombstone {
	return Tombstone{
		Job: job, Queue: c.Queue.Name, Host: c.Queue.Host, PathPrefix: c.Queue.PathPrefix,
		Workspace: c.Workspace, Public: c.Public,
	}
}

func (t Tombstone) caller() Caller {
	return Caller{
		Queue:     catalog.QueueRef{Name: t.Queue, Host: t.Host, PathPrefix: t.PathPrefix},
		Workspace: t.Workspace, Public: t.Public,
	}
}

// Key returns the key of the tombstone's row, a digest of whose job it cancels. Callers who can't
// cancel each other's jobs have different ones for the same id.
func (t Tombstone) Key() string {
	parts := []string{string(t.Job), t.Queue, string(t.Workspace)}
	if t.caller().Queue.HasAddress() {
		parts = []string{string(t.Job), t.Host, t.PathPrefix, string(t.Workspace)}
	}
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return tombstonePrefix + hex.EncodeToString(sum[:16])
}

// cancels reports whether the tombstone is for a job.
func (t Tombstone) cancels(spec *batch.Job) bool {
	return t.Job == spec.ID && t.caller().MayAccess(spec)
}

// tombstoneQuota says whose tombstones are limited together: those of a workspace, or of the callers
// of a public queue.
type tombstoneQuota struct {
	workspace   ident.Workspace
	publicQueue string
}

func (t Tombstone) quota() tombstoneQuota {
	if t.Public {
		return tombstoneQuota{publicQueue: t.caller().Queue.Key()}
	}
	return tombstoneQuota{workspace: t.Workspace}
}

// maxTombstones bounds the tombstones of a deployment. A replica holds each in some 500 bytes.
const maxTombstones = 4096

// tombstones holds the tombstones in the store. The zero value is empty.
type tombstones struct {
	byKey map[string]*list.Element
	byJob map[ident.Job][]*heldTombstone
	// bySeen holds a *heldTombstone for each, in the order of seenAt.
	bySeen list.List
	// held counts the tombstones of each quota, with those that are being written.
	held map[tombstoneQuota]int
	// writing counts the writes in progress by key, and reserved the keys among them that are not
	// stored yet.
	writing  map[string]int
	reserved int
}

type heldTombstone struct {
	Tombstone
	key     string
	version rows.Version
	// seenAt is when this replica received the version.
	seenAt time.Time
}

func (t *tombstones) put(s Tombstone, row rows.Row, now time.Time) {
	if former := t.byKey[row.Key]; former != nil {
		held := former.Value.(*heldTombstone)
		held.version, held.seenAt = row.Version, now
		t.bySeen.MoveToBack(former)
		return
	}
	if t.byKey == nil {
		t.byKey, t.byJob = make(map[string]*list.Element), make(map[ident.Job][]*heldTombstone)
	}
	held := &heldTombstone{Tombstone: s, key: row.Key, version: row.Version, seenAt: now}
	t.byKey[row.Key] = t.bySeen.PushBack(held)
	t.byJob[s.Job] = append(t.byJob[s.Job], held)
	if t.writing[row.Key] > 0 {
		t.reserved--
		return
	}
	t.count(s.quota(), 1)
}

func (t *tombstones) remove(key string) {
	element := t.byKey[key]
	if element == nil {
		return
	}
	held := t.bySeen.Remove(element).(*heldTombstone)
	delete(t.byKey, key)
	rest := slices.DeleteFunc(t.byJob[held.Job], func(h *heldTombstone) bool { return h == held })
	if t.byJob[held.Job] = rest; len(rest) == 0 {
		delete(t.byJob, held.Job)
	}
	if t.writing[key] > 0 {
		t.reserved++
		return
	}
	t.count(held.quota(), -1)
}

func (t *tombstones) count(quota tombstoneQuota, change int) {
	if t.held == nil {
		t.held = make(map[tombstoneQuota]int)
	}
	if t.held[quota] += change; t.held[quota] == 0 {
		delete(t.held, quota)
	}
}

// cancel reports whether a tombstone is for a job.
func (t *tombstones) cancel(spec *batch.Job) bool {
	return slices.ContainsFunc(t.byJob[spec.ID], func(h *heldTombstone) bool { return h.cancels(spec) })
}

// reserve counts a tombstone that is to be written, until release is called. A quota is as large as
// the room that is left for all others, so that no workspace can use up the room.
func (t *tombstones) reserve(s Tombstone) (release func(), ok bool) {
	key, quota := s.Key(), s.quota()
	isNew := t.byKey[key] == nil && t.writing[key] == 0
	if isNew && t.held[quota] >= maxTombstones-len(t.byKey)-t.reserved {
		return nil, false
	}
	if t.writing == nil {
		t.writing = make(map[string]int)
	}
	if t.writing[key]++; isNew {
		t.reserved++
		t.count(quota, 1)
	}
	return func() {
		if t.writing[key]--; t.writing[key] > 0 {
			return
		}
		delete(t.writing, key)
		if t.byKey[key] == nil {
			t.reserved--
			t.count(quota, -1)
		}
	}, true
}

// oldestAge returns how long ago the oldest tombstone was received, or zero if there is none.
func (t *tombstones) oldestAge(now time.Time) time.Duration {
	if front := t.bySeen.Front(); front != nil {
		return now.Sub(front.Value.(*heldTombstone).seenAt)
	}
	return 0
}

// applyTombstoneLocked also cancels the job if it is stored already.
func (r *Replica) applyTombstoneLocked(row rows.Row) error {
	var t Tombstone
	if err := decode(row, &t); err != nil {
		return err
	}
	if t.Key() != row.Key {
		return errkind.New(errkind.Corrupt, "tombstone row %s names job %q of queue %q", row.Key, t.Job, t.Queue)
	}
	r.tombstones.put(t, row, time.Now())
	if j := r.jobs[t.Job]; j != nil && j.Spec != nil && t.cancels(j.Spec) && !j.Canceled {
		j.Canceled = true
		r.notifyLocked(Change{Job: j})
	}
	return nil
}

// ReserveTombstone counts a tombstone that is to be written, until release is called. If its
// workspace has too many of them, ok is false and oldest is the age of the one that expires next.
func (r *Replica) ReserveTombstone(t Tombstone) (release func(), oldest time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unlocked, ok := r.tombstones.reserve(t)
	if !ok {
		return nil, r.tombstones.oldestAge(time.Now()), false
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		unlocked()
	}, 0, true
}

// Tombstones returns the number of tombstones in the store.
func (r *Replica) Tombstones() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tombstones.byKey)
}

// ExpiredTombstones returns the keys and versions of tombstones, at most limit of them, that this
// replica received more than retention ago and whose jobs, if stored, need them no longer.
func (r *Replica) ExpiredTombstones(now time.Time, retention time.Duration, limit int) []rows.Expect {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []rows.Expect
	for e := r.tombstones.bySeen.Front(); e != nil && len(out) < limit; e = e.Next() {
		h := e.Value.(*heldTombstone)
		if now.Sub(h.seenAt) <= retention {
			break
		}
		if !r.neededLocked(h.Tombstone) {
			out = append(out, rows.Expect{Key: h.key, Version: h.version})
		}
	}
	return out
}

// neededLocked reports whether only the tombstone says that its job is canceled.
func (r *Replica) neededLocked(t Tombstone) bool {
	j := r.jobs[t.Job]
	return j != nil && j.Spec != nil && t.cancels(j.Spec) && !j.Record.State.Final()
}
