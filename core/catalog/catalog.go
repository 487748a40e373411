// Package catalog holds the decoded configuration of the operator: queues,
// services, workspaces and their keys.
package catalog

import (
	"strings"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Queue accepts jobs of one kind.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue of a request.
	Host       string
	PathPrefix string
	// Service names the workers that run the queue's jobs.
	Service ident.Service
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts limits the attempts at a task: a job fails when this many runs
	// of one of its tasks have failed. Zero means no limit.
	MaxAttempts int
	// SlackFactor and TargetMs determine the objective for a job's time to
	// completion: the duration of its critical path (its longest chain of dependent
	// steps) times SlackFactor, plus TargetMs. A SlackFactor below 1 counts as 1.
	SlackFactor float64
	TargetMs    int64
	// Public queues need no key.
	Public bool
	// NeedsAdvice is set if the placement advisor decides which workers may run
	// a step.
	NeedsAdvice bool
	// Advice is what the queue declares about the advisor's answers.
	Advice AdviceTerms
}

// Ref returns what identifies the queue.
func (q *Queue) Ref() QueueRef {
	return QueueRef{Name: q.Name, Host: q.Host, PathPrefix: q.PathPrefix}
}

// QueueRef identifies a queue across versions of the configuration, in which a queue may get
// another name, and its name may go to another queue. To callers a queue is its address.
type QueueRef struct {
	Name string
	// Host and PathPrefix are empty in rows of older versions of the program.
	Host, PathPrefix string
}

// HasAddress reports whether the address is known.
func (r QueueRef) HasAddress() bool { return r.Host != "" || r.PathPrefix != "" }

// Same reports whether both identify one queue: by address or, if one of them has none, by name.
func (r QueueRef) Same(other QueueRef) bool {
	if r.HasAddress() && other.HasAddress() {
		return r.Host == other.Host && r.PathPrefix == other.PathPrefix
	}
	return r.Name == other.Name
}

// Key returns a text that is the same for each name of one queue.
func (r QueueRef) Key() string {
	if r.HasAddress() {
		return r.Host + r.PathPrefix
	}
	return r.Name
}

// AdviceTerms is what a queue declares about the answers of the placement advisor, in
// milliseconds. Zero means that it is not known.
type AdviceTerms struct {
	// A call takes DecideMs, and PerWorkerMs for each worker that it names.
	DecideMs    int64 `json:"d,omitempty"`
	PerWorkerMs int64 `json:"w,omitempty"`
	// ValidMs is how long a ticket is valid.
	ValidMs int64 `json:"v,omitempty"`
}

// Workspace is a customer.
type Workspace struct {
	ID   ident.Workspace
	Keys []string
	// Priority orders workspaces; 0 comes first.
	Priority int
	// Accelerators is the number guaranteed to jobs of priority 0.
	Accelerators int
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version    ident.ConfigVersion
	Queues     []Queue
	Workspaces []Workspace
	// MaxBodyBytes limits the body of a request; zero means no limit.
	MaxBodyBytes int64
	byKey        map[string]ident.Workspace
}

// New returns a copy of the catalog with an index of its keys.
func New(c Catalog) *Catalog {
	c.byKey = make(map[string]ident.Workspace)
	for _, ws := range c.Workspaces {
		for _, key := range ws.Keys {
			c.byKey[key] = ws.ID
		}
	}
	return &c
}

// Match returns the queue of the host with the longest matching path prefix, and
// the rest of the path.
func (c *Catalog) Match(host, path string) (Queue, string, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	if best == nil {
		return Queue{}, "", false
	}
	return *best, path[len(best.PathPrefix):], true
}

// WorkspaceOf returns the workspace that holds the key.
func (c *Catalog) WorkspaceOf(key string) (ident.Workspace, bool) {
	ws, ok := c.byKey[key]
	return ws, ok
}
