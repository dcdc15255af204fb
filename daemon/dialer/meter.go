package dialer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// Meter counts the bytes that pass the connections of a network.
type Meter struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Metered returns a network like this one, all of whose connections a meter counts.
func (network Network) Metered(meter *Meter) Network {
	return Network{
		Listen: func(address string) (net.Listener, error) {
			listener, err := network.Listen(address)
			if err != nil {
				return nil, err
			}
			return meteredListener{Listener: listener, meter: meter}, nil
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := network.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return meteredConn{Conn: conn, meter: meter}, nil
		},
	}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept waits for the next connection, which the meter counts.
func (meteredListener meteredListener) Accept() (net.Conn, error) {
	conn, err := meteredListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: conn, meter: meteredListener.meter}, nil
}

// errNoSocket reports that a network in memory has no sockets.
var errNoSocket = errors.New("not a socket")

// SyscallConn returns the socket of the listener.
func (meteredListener meteredListener) SyscallConn() (syscall.RawConn, error) {
	return socketOf(meteredListener.Listener)
}

func socketOf(wrapped any) (syscall.RawConn, error) {
	socket, ok := wrapped.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (meteredConn meteredConn) Read(data []byte) (int, error) {
	count, err := meteredConn.Conn.Read(data)
	meteredConn.meter.Received.Add(int64(count))
	return count, err
}

// Write writes to the connection and counts the bytes.
func (meteredConn meteredConn) Write(data []byte) (int, error) {
	count, err := meteredConn.Conn.Write(data)
	meteredConn.meter.Sent.Add(int64(count))
	return count, err
}

// SyscallConn returns the socket of the connection.
func (meteredConn meteredConn) SyscallConn() (syscall.RawConn, error) {
	return socketOf(meteredConn.Conn)
}
