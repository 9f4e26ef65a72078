package gateway

import (
	"cmp"
	"math"

	"savoryroad.dev/bouncer"
	"savoryroad.dev/gossiper"
	"savoryroad.dev/loader"
	"savoryroad.dev/platform"
)

const (
	// programBytes is what the process takes beside the heap: the pages of the program.
	programBytes = 12 << 20
	// memoryTenths is the part of the process's memory, in tenths, that the plan divides.
	memoryTenths = 9
	// heapTenths is the part of the process's memory, in tenths, that the garbage collector
	// keeps the heap, the stacks and the program's pages below. What was received and not
	// read takes memory that the collector doesn't know of.
	heapTenths = 7
	// defaultCallerPercent is the part, in percent, that connections of callers and requests
	// may take up, without their bodies.
	defaultCallerPercent = 40
	// receiveBufferBytes is the size of the buffer in which a connection receives what isn't
	// read yet. The kernel keeps up to twice as much, unreadBytes.
	receiveBufferBytes = 16 << 10
	unreadBytes        = 2 * receiveBufferBytes
	// connectionBytes is what a connection takes while it is idle: a goroutine, the buffers
	// of the server, what the entry keeps of it, and what it receives while a process that
	// is held up reads nothing.
	connectionBytes = 24<<10 + unreadBytes
	// requestBytes is what a request takes from its first byte until its answer is
	// written: goroutines, the beginnings of bodies that are held without taking them from
	// the buffers (freeBody and its like for answers), a buffer to copy the remainder, and the
	// connections to targets.
	requestBytes = 96 << 10
	// backlogDivisor is the part of the process's memory that connections may take that
	// weren't accepted yet.
	backlogDivisor = 32
	// headLineBytes is what each line of a head takes beside its text: it is parsed into a
	// map, which is copied.
	headLineBytes = 256
	// minCallers is the number of requests for which there is always memory.
	minCallers = 128
	// reservedDescriptors is the number of descriptors that the platform keeps for files
	// other than sockets.
	reservedDescriptors = 200
	// callerDescriptorThirds is the part of the descriptors, in thirds, that connections of
	// callers may take. The others are for targets, peers and the store.
	callerDescriptorThirds = 2
	// unlimitedConnections and unlimitedBytes are the limits of a process whose settings
	// have none.
	unlimitedConnections = math.MaxInt32
	unlimitedBytes       = math.MaxInt64 / 16
)

// memoryPlan divides the memory of the process among what an entry holds for others.
type memoryPlan struct {
	// bodies is for bodies of requests and answers, beyond what each may hold freely.
	bodies int64
	// callers bounds connections and requests.
	callers bouncer.Limits
	// backlog is the number of connections that may wait to be accepted; 0 if unlimited.
	backlog int
}

// planMemory returns the plan for the limits in the settings of the platform and of the
// operators.
func planMemory(p platform.Settings, tuning loader.Tuning) memoryPlan {
	plan := memoryPlan{
		bodies:  unlimitedBytes,
		callers: bouncer.Limits{Connections: unlimitedConnections, Bytes: unlimitedBytes, ConnectionBytes: connectionBytes},
	}
	if p.MemoryBytes > 0 {
		plan.bodies = p.MemoryBytes / bufferMemoryDivisor
		plan.backlog = int(p.MemoryBytes / backlogDivisor / unreadBytes)
		percent := int64(cmp.Or(tuning.CallerMemoryPercent, defaultCallerPercent))
		plan.callers.Bytes = max(p.MemoryBytes/100*percent, minCallers*(connectionBytes+requestBytes))
	}
	if p.Descriptors > 0 {
		plan.callers.Connections = max(1, p.Descriptors-reservedDescriptors) * callerDescriptorThirds / 3
		plan.callers.Connections = max(plan.callers.Connections, minCallers)
	}
	if tuning.Connections > 0 {
		plan.callers.Connections = min(plan.callers.Connections, tuning.Connections)
	}
	return plan
}

// left returns how much of the memory the plan leaves for the state of the fleet, in bytes.
// It is negative if there is too little memory for an entry.
func (p memoryPlan) left(memory int64) int64 {
	return memory/10*memoryTenths - programBytes - gossiper.MaxHeldBytes - p.bodies - p.callers.Bytes - int64(p.backlog)*unreadBytes
}

// HeapLimit returns the soft limit of the garbage collector for the memory of a process in
// bytes.
func HeapLimit(memory int64) int64 {
	return max(memory/10*heapTenths-programBytes, memory/2)
}
