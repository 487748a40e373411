package jobstore

import (
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Caller says where a call arrived and whose it is.
type Caller struct {
	Queue catalog.QueueRef
	// Workspace is that of the call's key, or empty without one.
	Workspace ident.Workspace
	// Public reports that the queue needs no key now.
	Public bool
}

// MayAccess reports whether the caller may learn of a job and cancel it: whether it was accepted by
// the caller's queue, for the caller's workspace or while the queue was public. A queue that becomes
// public later gives nobody access to the jobs that it accepted before.
func (c Caller) MayAccess(spec *batch.Job) bool {
	queue := spec.QueueRef()
	if !c.Queue.Same(queue) {
		return false
	}
	if !queue.HasAddress() { // Such a row does not tell whether its queue was public.
		return c.Public || c.Workspace == spec.Workspace
	}
	return spec.Public || c.Workspace == spec.Workspace
}
