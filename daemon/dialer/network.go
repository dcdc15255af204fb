// Package dialer is how a process reaches others, so that tests can put a network in memory beneath it.
package dialer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network listens and dials by IP number and port.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

const (
	dialTimeout     = time.Second
	continueTimeout = 10 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerHost     = 64
)

// TCP returns the host's network.
func TCP() Network {
	var dial net.Dialer
	return Network{
		Listen: func(address string) (net.Listener, error) {
			return net.Listen("tcp", address)
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dial.DialContext(ctx, "tcp", address)
		},
	}
}

// Client returns an HTTP client over the network. A body is sent only after the server asked for it,
// so that a refused request leaves the body unread.
func (network Network) Client() *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return network.Dial(ctx, address)
		},
		ExpectContinueTimeout: continueTimeout,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   idlePerHost,
		DisableCompression:    true,
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
