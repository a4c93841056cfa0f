package limit

// Resources are what a process may use. A field that is 0 is unknown.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// Shares are the parts of the resources of an instance that its users may take. A share
// that is 0 has no limit.
type Shares struct {
	// ClientConnections, PeerConnections and ControlConnections are the connections that
	// an instance accepts from clients, from other instances, and for readiness and
	// operations each. The remaining descriptors are for connections that the instance
	// opens, and for files.
	ClientConnections, PeerConnections, ControlConnections int
	// RequestBytes is the memory for the heads and bodies of requests, and ResponseBytes
	// that for responses.
	RequestBytes, ResponseBytes int64
	// HeapBytes is the size of the heap from which the garbage collector runs more often.
	HeapBytes int64
}

const (
	// fileDescriptors are kept for files and for what the runtime opens.
	fileDescriptors = 200
	// minDescriptors is the least number of descriptors that is shared between
	// connections, so that an instance with a low limit serves at all.
	minDescriptors = 64
	// connectionBytes is the memory of a connection that is not counted: buffers and
	// stacks of 16 KiB, and a small request and response.
	connectionBytes = 16<<10 + 2*FreeBytes
	// pageBytes is the memory of the program's pages, which the garbage collector does not
	// know, and programBytes that with the program's state without clients.
	pageBytes, programBytes = 16_000_000, 24_000_000
	// heapFraction is the part of the memory without pageBytes from which the garbage
	// collector runs more often. The rest is for what it does not count, such as the
	// buffers of the kernel, and for garbage that comes faster than it is collected.
	heapFraction = 0.7
	// memoryDivisor and connectionDivisor are the parts of the memory for bodies, of
	// requests and of responses, and for connections. The rest is for garbage that is not
	// collected yet.
	memoryDivisor, connectionDivisor = 6, 4
)

// Shares divides the resources: half of the descriptors are for clients, as many requests
// may need a connection to a backend server each, an eighth is for other instances and a
// sixteenth each for readiness and for operations.
func (r Resources) Shares() Shares {
	memory := max(0, r.MemoryBytes-programBytes)
	s := Shares{RequestBytes: memory / memoryDivisor, ResponseBytes: memory / memoryDivisor}
	if memory > 0 {
		s.HeapBytes = int64(heapFraction * float64(r.MemoryBytes-pageBytes))
	}
	if r.Descriptors > 0 {
		connections := max(r.Descriptors-fileDescriptors, minDescriptors)
		s.ClientConnections, s.PeerConnections, s.ControlConnections = connections/2, connections/8, connections/16
	}
	if fit := int(memory / connectionDivisor / connectionBytes); fit > 0 && (s.ClientConnections == 0 || fit < s.ClientConnections) {
		s.ClientConnections = fit
	}
	return s
}
