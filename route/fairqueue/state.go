package fairqueue

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// ownQueue marks the flow of a single caller.
const ownQueue int32 = -1

// maxSpareItems bounds the spare items that are kept for reuse.
const maxSpareItems = 1024

func (q *Queue) newItem() *item {
	if last := len(q.spareItems) - 1; last >= 0 {
		it := q.spareItems[last]
		q.spareItems = q.spareItems[:last]
		return it
	}
	return &item{}
}

func (q *Queue) recycle(it *item) {
	delete(q.items, it.req.ID)
	*it = item{}
	if len(q.spareItems) < maxSpareItems {
		q.spareItems = append(q.spareItems, it)
	}
}

// flowKeyFor returns the key of the flow that a request belongs to. A new caller
// gets its own flow while the bound on callers allows it, and a shared one
// otherwise.
func (q *Queue) flowKeyFor(now time.Time, req Request) flowKey {
	key := flowKey{workspace: req.Workspace, caller: req.Caller, bucket: ownQueue, urgent: req.Urgent}
	if q.flows[key] != nil {
		return key
	}
	if len(q.flows)-q.shared < q.limits.Callers || q.evictIdle(now) {
		return key
	}
	hash := hashCaller(q.limits.Seed, req.Workspace, req.Caller)
	return flowKey{
		workspace: req.Workspace,
		bucket:    int32(hash % uint64(max(q.limits.SharedQueues, 1))),
		urgent:    req.Urgent,
	}
}

// evictIdle makes room for a new flow by dropping that of a caller that has been
// idle long. It examines only a few of the oldest, so that its cost is bounded.
func (q *Queue) evictIdle(now time.Time) bool {
	const maxExamined = 8
	f := q.idle.head
	for range maxExamined {
		if f == nil {
			return false
		}
		// Dropping a flow drops its negative deficit too. A flow that became idle a
		// moment ago is kept, so that a short pause does not clear the deficit.
		inDebt := f.deficit < 0 && now.Sub(f.idleSince) < q.limits.Idle/10
		if f.key.bucket == ownQueue && !inDebt {
			q.dropFlow(f)
			return true
		}
		f = f.idle.next
	}
	return false
}

func (q *Queue) expireIdle(now time.Time) {
	for f := q.idle.head; f != nil && now.Sub(f.idleSince) >= q.limits.Idle; f = q.idle.head {
		q.dropFlow(f)
	}
}

func (q *Queue) dropFlow(f *flow) {
	q.idle.remove(f)
	delete(q.flows, f.key)
	if f.key.bucket != ownQueue {
		q.shared--
	}
	w := f.lane.workspace
	w.flows--
	if w.flows == 0 {
		delete(q.workspaces, w.name)
	}
}

func (q *Queue) flowFor(key flowKey) *flow {
	if f := q.flows[key]; f != nil {
		return f
	}
	w := q.workspaceFor(key.workspace)
	f := &flow{key: key, lane: w.laneOf(key.urgent)}
	f.owner = f
	f.weight = 1
	w.flows++
	q.flows[key] = f
	if key.bucket != ownQueue {
		q.shared++
	}
	return f
}

func (q *Queue) workspaceFor(name ident.Workspace) *workspace {
	if w := q.workspaces[name]; w != nil {
		return w
	}
	w := newWorkspace(name, q.weightOf(name))
	q.workspaces[name] = w
	return w
}

func (q *Queue) weightOf(name ident.Workspace) float64 {
	if weight, ok := q.weights[name]; ok {
		return weight
	}
	return 1
}

// enqueued accounts for an item that was linked into its flow.
func (q *Queue) enqueued(it *item) {
	f := it.flow
	w := f.lane.workspace
	it.waiting = true
	q.idle.remove(f)
	f.length++
	f.bytes += it.req.Bytes
	f.work += it.cost
	f.lane.work += it.cost
	w.length++
	w.bytes += it.req.Bytes
	q.waiting++
	q.bytes += it.req.Bytes
	q.work += it.cost
	q.expiries.add(it)
	if !f.linked() {
		f.lane.add(&f.node)
	}
	if !w.linked() {
		q.ring.add(&w.node)
	}
}

// dequeued accounts for an item that was unlinked from its flow.
func (q *Queue) dequeued(now time.Time, it *item) {
	f := it.flow
	w := f.lane.workspace
	it.waiting = false
	q.expiries.remove(it)
	f.length--
	f.bytes -= it.req.Bytes
	f.work -= it.cost
	f.lane.work -= it.cost
	w.length--
	w.bytes -= it.req.Bytes
	q.waiting--
	q.bytes -= it.req.Bytes
	q.work -= it.cost
	if f.length == 0 {
		f.work = 0
		f.lane.remove(&f.node)
		q.markIdleIfEmpty(now, f)
	}
	if w.length == 0 {
		q.ring.remove(&w.node)
	}
	if q.waiting == 0 {
		q.work = 0
	}
}

func (q *Queue) markIdleIfEmpty(now time.Time, f *flow) {
	if f.length == 0 && f.inFlight == 0 && !f.idle.listed {
		q.idle.push(f, now)
	}
}

func (q *Queue) removeWaiting(now time.Time, it *item) {
	it.flow.unlink(it)
	q.dequeued(now, it)
	q.recycle(it)
}

// release ends an item in flight.
func (q *Queue) release(now time.Time, it *item) {
	f := it.flow
	f.inFlight--
	q.inFlight--
	q.recycle(it)
	q.markIdleIfEmpty(now, f)
}
