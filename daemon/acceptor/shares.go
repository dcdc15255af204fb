package acceptor

// The inverses of the parts of a host's memory that its clients may take together. All parts, what the kernel keeps, and what the host
// holds for itself have to fit in at once.
const (
	PeerMemoryShare    = 12 // large messages of peers, from their first bytes until they are answered
	PeerCallShare      = 16 // calls of peers that are not answered, or whose answers the peer has not read
	HeadMemoryShare    = 32 // heads of callers' requests
	UnreadMemoryShare  = 16 // what the kernel keeps of callers with workers' answers, and of peers, until it is read
	requestMemoryShare = 16
	connMemoryShare    = 16
	// minRequestMemory has room for one body of the largest size that the platform's configuration allows by default, 256 KB.
	minRequestMemory = 3 << 20
)

// RequestMemory returns the part of a host's memory in bytes that bodies may take, from their first byte until they are answered.
func RequestMemory(memory int64) int64 { return max(memory/requestMemoryShare, minRequestMemory) }

const (
	// The parts of the descriptors that connections may take, in percent. A host needs the others for its own calls.
	callerFilesPercent = 40
	peerFilesPercent   = 20
	// connBytes is the memory of a connection without a request: its goroutine and the buffers for reading and writing.
	connBytes = 16 << 10
)

// CallerConns returns how many connections of callers a host keeps open unless its settings say so, by its number of descriptors and its
// memory in bytes.
func CallerConns(files, memory int64) int {
	return int(min(files*callerFilesPercent/100, memory/connMemoryShare/connBytes))
}

const (
	// MinReceiveBuffer is the smallest receive buffer of a connection in bytes.
	MinReceiveBuffer = 4 << 10
	// peerReceiveBuffer holds most messages of peers, so that they arrive without a wait for the host to read, in bytes.
	peerReceiveBuffer = 32 << 10
)

// FullBuffers returns how many connections may have receive buffers of a size, by the host's memory in bytes.
func FullBuffers(memory int64, buffer int) int {
	return int(max(memory/UnreadMemoryShare/int64(2*buffer), 1))
}

// PeerLimits returns the limits for all connections of peers, by the host's number of descriptors and its memory in bytes. closed is called
// for each connection that is closed because of a limit.
func PeerLimits(files, memory int64, closed func(Reason)) Limits {
	return Limits{
		Conns:         int(files * peerFilesPercent / 100),
		ReceiveBuffer: peerReceiveBuffer,
		FullBuffers:   FullBuffers(memory, peerReceiveBuffer),
		ByLatestRead:  true,
		Closed:        closed,
	}
}
