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
	maxReceiveBuffer      = 128 << 10
	// otherHeadShare is the inverse of the part of the memory that the heads of requests to each address but httpAddress may take.
	otherHeadShare = 128
)

// jobMemoryLimit is the limit for the memory of the accepted jobs, in logs and metrics.
const jobMemoryLimit = "jobMemory"

// limitsOf returns the limits for all connections of a listener.
func (host *Host) limitsOf(name listenerName) acceptor.Limits {
	files, memory := host.settings.MaxOpenFiles, host.settings.MemoryMB<<20
	closed := func(reason acceptor.Reason) { host.recordLimit(name, string(reason)) }
	limits := acceptor.Limits{BodyTimeout: host.settings.BodyTimeout, Closed: closed}
	switch name {
	case httpListener:
		limits.Conns = maxCallerConns(host.settings)
		limits.HeadBytes = memory / acceptor.HeadMemoryShare
		limits.ReceiveBuffer = receiveBuffer(memory, limits.Conns)
		limits.Request = host.requestLimits
	case readinessListener:
		limits.Conns = int(files * readinessFilesPercent / 100)
		limits.HeadBytes = memory / otherHeadShare
		limits.ReceiveBuffer = acceptor.MinReceiveBuffer
	case metricsListener:
		limits.Conns = int(files * metricsFilesPercent / 100)
		limits.HeadBytes = memory / otherHeadShare
		limits.ReceiveBuffer = acceptor.MinReceiveBuffer
	case peerListener:
		return acceptor.PeerLimits(files, memory, closed)
	}
	return limits
}

// maxCallerConns returns the maximum number of connections that callers keep open.
func maxCallerConns(settings loader.Scheduling) int {
	if settings.MaxConnections > 0 {
		return int(settings.MaxConnections)
	}
	return acceptor.CallerConns(settings.MaxOpenFiles, settings.MemoryMB<<20)
}

// receiveBuffer returns the receive buffer in bytes of each of a number of callers' connections. The kernel may take twice as many.
func receiveBuffer(memory int64, conns int) int {
	perConn := memory / acceptor.UnreadMemoryShare / int64(conns)
	return int(min(max(perConn/2, acceptor.MinReceiveBuffer), maxReceiveBuffer))
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
	return acceptor.Wrap(listener, host.limitsOf(name)), nil
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
