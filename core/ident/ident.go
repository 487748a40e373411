// Package ident defines the typed identifiers shared by all modules.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// Identifiers of configured and discovered objects.
type (
	// Workspace names a customer of the platform.
	Workspace string
	// Caller names one client of a workspace.
	Caller string
	// Service names a kind of work that a group of upstreams performs.
	Service string
	// Job identifies a submitted job or gang.
	Job string
	// Worker identifies a machine with accelerators.
	Worker string
	// Rack identifies a group of workers that share a switch.
	Rack string
	// Zone names an availability zone.
	Zone string
	// Region names a region.
	Region string
	// Partition names a group of racks that is scheduled by one owner.
	Partition string
	// Entry identifies an entry process.
	Entry string
	// Upstream identifies one back-end instance.
	Upstream string
	// Request identifies one accepted request.
	Request string
	// Dispatch identifies one attempt to run a request on an upstream.
	Dispatch string
	// Incarnation identifies one run of a process; a restart changes it.
	Incarnation string
)

// Epoch numbers the owners of a partition. It only increases.
type Epoch uint64

// FencingToken orders the calls to a worker, which ignores those with a lower one than it has seen.
type FencingToken uint64

// ConfigVersion numbers accepted configurations. It only increases.
type ConfigVersion uint64

// idBytes is the entropy of a random identifier: 96 bits make a collision
// among all requests of a year less likely than one in 10^9.
const idBytes = 12

// NewID returns a random identifier with the given prefix.
func NewID(prefix string) string {
	var raw [idBytes]byte
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(raw[:])
	return prefix + hex.EncodeToString(raw[:])
}
