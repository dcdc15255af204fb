package acceptor

// The inverses of the parts of a host's memory that its clients may take together.
const (
	RequestMemoryShare = 8  // bodies, from their first byte until they are answered
	PeerMemoryShare    = 6  // large messages of peers, from their first bytes until they are answered
	HeadMemoryShare    = 16 // heads of callers' requests
	connMemoryShare    = 8
)

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

// PeerConns returns how many connections of peers a host keeps open, by its number of descriptors.
func PeerConns(files int64) int { return int(files * peerFilesPercent / 100) }
