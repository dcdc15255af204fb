package server

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"ebonyshunt.org/daemon/acceptor"
	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/library/budgeter"
	"ebonyshunt.org/library/receiver"
	"ebonyshunt.org/library/responder"
)

// The settings with the addresses of the listeners, in logs and metrics.
const (
	httpListener = "httpAddress"
	peerListener = "peerAddress"
)

const (
	// receiveTimeout is how long a body that is read into memory may take.
	receiveTimeout = 30 * time.Second
	// limitRetryDelay is sent to callers whose request was refused because of a limit for all of them.
	limitRetryDelay = time.Second
	// streamBuffer is the receive buffer in bytes of a connection on which a body or an answer is streamed.
	streamBuffer = 64 << 10
)

// openFileLimit returns the number of descriptors that the process may open.
func openFileLimit() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > loader.MaxFileLimit {
		return loader.MaxFileLimit
	}
	return int64(limit.Cur)
}

// limitCallers returns a listener that bounds what the connections of callers take together.
func (server *Server) limitCallers(listener net.Listener) *acceptor.Listener {
	memory := server.settings.MemoryMB << 20
	conns := int(server.settings.MaxConnections)
	if conns == 0 {
		conns = acceptor.CallerConns(openFileLimit(), memory)
	}
	return acceptor.Wrap(listener, acceptor.Limits{
		Conns:         conns,
		HeadBytes:     memory / acceptor.HeadMemoryShare,
		ReceiveBuffer: streamBuffer,
		FullBuffers:   streamBuffers(memory),
		Closed:        func(reason acceptor.Reason) { server.limits.Record(httpListener, string(reason)) },
	})
}

// streamBuffers returns how many connections of callers, and how many to workers, may have streamBuffer: they share the memory for it.
func streamBuffers(memory int64) int { return acceptor.FullBuffers(memory/2, streamBuffer) }

// answerBuffers returns the receive buffers of the connections to workers, whose answers wait for the callers to read them.
func answerBuffers(memory int64) *dialer.Buffers {
	return &dialer.Buffers{
		Bytes:    streamBuffer,
		MinBytes: acceptor.MinReceiveBuffer,
		Full:     int64(streamBuffers(memory)),
	}
}

// limitPeers returns a listener that bounds what the connections of peers take together.
func (server *Server) limitPeers(listener net.Listener) *acceptor.Listener {
	return acceptor.Wrap(listener, acceptor.PeerLimits(openFileLimit(), server.settings.MemoryMB<<20, func(reason acceptor.Reason) {
		server.limits.Record(peerListener, string(reason))
	}))
}

// peerMemory returns the memory for the messages and calls of peers.
func (server *Server) peerMemory() *linker.Memory {
	return &linker.Memory{
		Budget:    budgeter.New(server.settings.MemoryMB << 20 / acceptor.PeerMemoryShare),
		CallBytes: server.settings.MemoryMB << 20 / acceptor.PeerCallShare,
		Met:       func(limit linker.Limit) { server.limits.Record(peerListener, string(limit)) },
	}
}

// receive reads the body of a request into memory. What is read is of the given kind, in problems.
func (server *Server) receive(w http.ResponseWriter, r *http.Request, maxBytes int64, kind string) (*receiver.Body, *responder.Problem) {
	body, err := server.bodies.Receive(w, r, maxBytes, receiveTimeout)
	if err != nil {
		return nil, server.bodyProblem(err, kind)
	}
	return body, nil
}

// bodyProblem returns the problem of a body that was not read to its end. Its request was not carried out.
func (server *Server) bodyProblem(err error, kind string) *responder.Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return responder.Refuse(http.StatusRequestEntityTooLarge, responder.CodeTooLarge, "the %s exceeds %d bytes", kind, tooLarge.Limit)
	case budgeter.ErrFull.Has(err):
		server.limits.Record(httpListener, "requestMemory")
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "the requests that this host serves take the memory for them").WithRetryAfter(limitRetryDelay)
	case receiver.ErrLate.Has(err), budgeter.ErrEvicted.Has(err):
		server.limits.Record(httpListener, "bodyTimeout")
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "the %s did not arrive in time", kind).WithRetryAfter(limitRetryDelay)
	}
	return badRequest("the body was cut off: %v", err)
}
