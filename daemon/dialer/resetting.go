package dialer

import (
	"context"
	"fmt"
	"net"
)

// lingerer is a connection with an option for what becomes of written data when it is closed, as net.TCPConn has.
type lingerer interface {
	SetLinger(seconds int) error
}

// Resetting returns a network like this one, whose dialed connections are reset as they are closed, also by the end of the process: what was
// written and has not arrived is dropped. Otherwise a call that was given up would still arrive once a cut heals.
func (network Network) Resetting() Network {
	return Network{
		Listen: network.Listen,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := network.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			option, found := conn.(lingerer)
			if !found {
				return conn, nil
			}
			if err := option.SetLinger(0); err != nil {
				_ = conn.Close()
				return nil, fmt.Errorf("let the connection to %s be reset when it is closed: %w", address, err)
			}
			return conn, nil
		},
	}
}
