package fairqueue

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// item is one request, from Push to Complete.
type item struct {
	req        Request
	arrived    time.Time
	expiry     time.Time
	cost       float64
	flow       *flow
	prev, next *item
	heapIndex  int
	waiting    bool
}

// flowKey names a flow. A flow of a single caller has bucket -1; a shared flow
// has an empty caller.
type flowKey struct {
	workspace ident.Workspace
	caller    ident.Caller
	bucket    int32
	urgent    bool
}

// flow is the queue of one caller, or of the callers that share a hashed queue.
type flow struct {
	node[*flow]
	key        flowKey
	lane       *lane
	head, tail *item
	length     int
	bytes      int64
	work       float64
	inFlight   int
	idleSince  time.Time
	idle       idleLink
}

type idleLink struct {
	prev, next *flow
	listed     bool
}

func (f *flow) pushBack(it *item) {
	it.prev, it.next = f.tail, nil
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
}

func (f *flow) pushFront(it *item) {
	it.prev, it.next = nil, f.head
	if f.head == nil {
		f.tail = it
	} else {
		f.head.prev = it
	}
	f.head = it
}

func (f *flow) unlink(it *item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
}

// lane holds the flows of a workspace that are all urgent or all not.
type lane struct {
	ring[*flow]
	workspace *workspace
	urgent    bool
	work      float64
}

// workspace is one customer's share of the queue.
type workspace struct {
	node[*workspace]
	name   ident.Workspace
	urgent lane
	normal lane
	length int
	bytes  int64
	flows  int
	// normalOwed is the service in slot-seconds that the normal lane is owed
	// because urgent requests were served first.
	normalOwed float64
}

func newWorkspace(name ident.Workspace, weight float64) *workspace {
	w := &workspace{name: name}
	w.owner = w
	w.weight = weight
	w.urgent.workspace, w.urgent.urgent = w, true
	w.normal.workspace = w
	return w
}

func (w *workspace) laneOf(urgent bool) *lane {
	if urgent {
		return &w.urgent
	}
	return &w.normal
}

// normalShare is the part of a workspace's service that its normal requests keep
// while urgent ones wait. Without it a flood of urgent requests would starve
// them.
const normalShare = 1.0 / 8

// nextLane returns the lane to serve next.
func (w *workspace) nextLane() *lane {
	switch {
	case w.urgent.size == 0:
		return &w.normal
	case w.normal.size == 0:
		return &w.urgent
	case w.normalOwed > 0:
		return &w.normal
	default:
		return &w.urgent
	}
}

// account updates the balance between the lanes after l was served.
func (w *workspace) account(l *lane, cost float64) {
	switch {
	case w.urgent.size == 0 || w.normal.size == 0:
		w.normalOwed = 0
	case l.urgent:
		w.normalOwed += cost * normalShare / (1 - normalShare)
	default:
		w.normalOwed -= cost
	}
}

// idleList orders flows without requests by the time they became idle.
type idleList struct {
	head, tail *flow
}

func (l *idleList) push(f *flow, now time.Time) {
	f.idleSince = now
	f.idle = idleLink{prev: l.tail, listed: true}
	if l.tail == nil {
		l.head = f
	} else {
		l.tail.idle.next = f
	}
	l.tail = f
}

func (l *idleList) remove(f *flow) {
	if !f.idle.listed {
		return
	}
	if f.idle.prev == nil {
		l.head = f.idle.next
	} else {
		f.idle.prev.idle.next = f.idle.next
	}
	if f.idle.next == nil {
		l.tail = f.idle.prev
	} else {
		f.idle.next.idle.prev = f.idle.prev
	}
	f.idle = idleLink{}
}
