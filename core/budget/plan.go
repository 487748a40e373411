// Package budget accounts for the memory and the descriptors that the clients of a process may
// hold. It does no I/O.
package budget

// Plan divides the memory and the descriptors of a process.
type Plan struct {
	// Connections limits the connections of callers, OtherConnections those at each other
	// HTTP port, and PeerConnections those of the project's other processes.
	Connections, OtherConnections, PeerConnections int
	// Heads limits the memory of request heads of callers in bytes. SmallBodies and
	// LargeBodies limit that of request bodies, and Decoding that of bodies that are decoded
	// and of what results from it.
	Heads, SmallBodies, LargeBodies, Decoding int64
	// GoMemory is the memory limit of the Go runtime in bytes.
	GoMemory int64
}

const (
	// reservedFDs are the descriptors that the platform reserves for files.
	reservedFDs = 200
	// connectionBytes is the memory of a connection that waits: two buffers of 4 KiB, a stack
	// and the state of net/http. 800 silent connections added 9 KB each.
	connectionBytes = 10_000
	// otherConnectionBytes is the memory of a connection at a port that is not meant for
	// callers, with a head or a heartbeat of the largest size.
	otherConnectionBytes = 150_000
	// peerConnectionBytes is the memory of a gRPC connection, whose buffers have 32 KiB each way.
	peerConnectionBytes = 100_000
	// maxOtherConnections is more than checks of the platform, scrapers and upstream processes
	// have open at once.
	maxOtherConnections = 64
	// codeBytes is the memory of the program's file, which counts as memory of the process but
	// not towards the limit of the Go runtime. 12 MB of it were resident.
	codeBytes = 16_000_000
)

// The least that a plan has, so that a process with any limits serves requests of the largest
// size, one at a time.
const (
	minConnections = 16
	minHeads       = 256 << 10
	minSmallBodies = 64 << 10
	minLargeBodies = 512 << 10
	minDecoding    = 2 << 20
)

// NewPlan returns the plan for a process that may use a number of bytes of memory and of open
// descriptors. A quarter of the memory is for clients, because the garbage collector lets the
// heap grow to twice what is in use.
func NewPlan(memory int64, fds int) Plan {
	clients := memory / 4
	usable := max(fds-reservedFDs, 0)
	return Plan{
		// Half of the descriptors remain for connections to agents, the store and other entries.
		Connections:      max(min(usable/2, int(clients*35/100/connectionBytes)), minConnections),
		OtherConnections: max(min(usable/16, int(clients/4/otherConnectionBytes), maxOtherConnections), minConnections),
		PeerConnections:  max(min(usable/8, int(clients/2/peerConnectionBytes)), minConnections),
		Heads:            max(clients*20/100, minHeads),
		SmallBodies:      max(clients*10/100, minSmallBodies),
		LargeBodies:      max(clients*20/100, minLargeBodies),
		Decoding:         max(clients*15/100, minDecoding),
		// A limit near what an idle process uses would only occupy the garbage collector.
		GoMemory: max(memory-memory/20-codeBytes, memory/2),
	}
}
