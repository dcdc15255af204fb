package dialer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"ebonyshunt.org/daemon/capper"
)

// Buffers are the receive buffers of the connections that a network dials. The kernel may take twice as many bytes.
type Buffers struct {
	Bytes    int   // of a connection
	MinBytes int   // of a connection that is opened while Full others are open
	Full     int64 // number of connections with Bytes
	open     atomic.Int64
}

// Buffered returns a network like this one, on all of whose dialed connections the kernel keeps a limited number of bytes.
func (network Network) Buffered(buffers *Buffers) Network {
	return Network{
		Listen: network.Listen,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := network.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			size := buffers.Bytes
			if buffers.open.Add(1) > buffers.Full {
				size = buffers.MinBytes
			}
			capper.LimitReceived(conn, size)
			capper.LimitUnsent(conn)
			return &bufferedConn{Conn: conn, buffers: buffers}, nil
		},
	}
}

type bufferedConn struct {
	net.Conn
	buffers *Buffers
	once    sync.Once
}

// Close closes the connection.
func (bufferedConn *bufferedConn) Close() error {
	bufferedConn.once.Do(func() { bufferedConn.buffers.open.Add(-1) })
	return bufferedConn.Conn.Close()
}
