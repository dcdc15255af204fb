package scheduler

import (
	"ebonyshunt.org/daemon/acceptor"
	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/library/budgeter"
)

// listenerName is the setting with the address of a listener, in logs and metrics.
type listenerName string

// The listeners of a host.
const (
	httpListener      listenerName = "httpAddress"
	readinessListener listenerName = "readinessAddress"
	metricsListener   listenerName = "metricsAddress"
	peerListener      listenerName = "peerAddress"
)

const (
	// The parts of the descriptors that the connections to the load balancer's and the operators' addresses may take, in percent.
	readinessFilesPercent = 3
	metricsFilesPercent   = 2
	// unreadMemoryShare is the inverse of the part of the memory that the kernel may take for what callers sent and the host has not read.
	unreadMemoryShare = 16
	minReceiveBuffer  = 4 << 10
	maxReceiveBuffer  = 128 << 10
	// otherHeadShare is the inverse of the part of the memory that the heads of requests to each address but httpAddress may take.
	otherHeadShare = 128
)

// jobMemoryLimit is the limit for the memory of the accepted jobs, in logs and metrics.
const jobMemoryLimit = "jobMemory"

// receiveBuffer returns the number of bytes that the kernel keeps for each connection until they are read, of which it may take twice as
// many, 0 for its default: messages of peers are read at once.
func receiveBuffer(settings loader.Scheduling, name listenerName) int {
	switch name {
	case httpListener:
		perConn := settings.MemoryMB << 20 / unreadMemoryShare / int64(maxConns(settings, name))
		return int(min(max(perConn/2, minReceiveBuffer), maxReceiveBuffer))
	case readinessListener, metricsListener:
		return minReceiveBuffer
	case peerListener:
	}
	return 0
}

// maxHeadBytes returns the memory that the heads of all requests to a listener may take.
func maxHeadBytes(settings loader.Scheduling, name listenerName) int64 {
	memory := settings.MemoryMB << 20
	switch name {
	case httpListener:
		return memory / acceptor.HeadMemoryShare
	case readinessListener, metricsListener:
		return memory / otherHeadShare
	case peerListener: // its protocol has no heads
	}
	return 0
}

// maxConns returns the maximum number of connections that a listener keeps open.
func maxConns(settings loader.Scheduling, name listenerName) int {
	files := settings.MaxOpenFiles
	switch name {
	case readinessListener:
		return int(files * readinessFilesPercent / 100)
	case metricsListener:
		return int(files * metricsFilesPercent / 100)
	case peerListener:
		return acceptor.PeerConns(files)
	case httpListener:
	}
	if settings.MaxConnections > 0 {
		return int(settings.MaxConnections)
	}
	return acceptor.CallerConns(files, settings.MemoryMB<<20)
}

// listenWithin listens on an address of the host within the limits for clients.
func (host *Host) listenWithin(name listenerName, address string) (*acceptor.Listener, error) {
	network := host.network
	if name == peerListener {
		network = host.peerNetwork
	}
	listener, err := network.Listen(address)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller names the address
	}
	limits := acceptor.Limits{
		Conns:         maxConns(host.settings, name),
		HeadBytes:     maxHeadBytes(host.settings, name),
		ReceiveBuffer: receiveBuffer(host.settings, name),
		BodyTimeout:   host.settings.BodyTimeout,
		ByLatestRead:  name == peerListener,
		Closed:        func(reason acceptor.Reason) { host.recordLimit(name, string(reason)) },
	}
	if name == httpListener {
		limits.Request = host.requestLimits
	}
	return acceptor.Wrap(listener, limits), nil
}

// peerMemory returns the memory for the messages and calls of peers.
func (host *Host) peerMemory() *linker.Memory {
	return &linker.Memory{
		Budget:    budgeter.New(host.settings.MemoryMB << 20 / acceptor.PeerMemoryShare),
		CallBytes: host.settings.MemoryMB << 20 / acceptor.PeerCallShare,
		Met:       func(limit linker.Limit) { host.recordLimit(peerListener, string(limit)) },
	}
}

// requestLimits returns the limits of callers' requests in the configuration in force.
func (host *Host) requestLimits() acceptor.RequestLimits {
	catalog := host.catalog.Load()
	if catalog == nil {
		return acceptor.RequestLimits{}
	}
	limits := &catalog.Limits
	return acceptor.RequestLimits{MaxHeadBytes: limits.MaxHeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// recordLimit counts and logs that a limit closed a connection or refused a request.
func (host *Host) recordLimit(name listenerName, limit string) {
	host.limits.Record(string(name), limit)
}
