// Package dialer provides the network through which a process listens and dials. Tests replace it by one in memory.
package dialer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network listens on and dials addresses that consist of an IP address and a port.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

const (
	dialTimeout         = time.Second
	continueTimeout     = 10 * time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 64
)

// TCP returns a network that uses the TCP of the operating system.
func TCP() Network {
	var netDialer net.Dialer
	return Network{
		Listen: func(address string) (net.Listener, error) {
			return net.Listen("tcp", address)
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return netDialer.DialContext(ctx, "tcp", address)
		},
	}
}

// Client returns an HTTP client over the network. It does not follow redirects. The body of a request with
// Expect: 100-continue is sent only once the server asks for it, or after continueTimeout, so that a refused request
// leaves the body unread.
func (network Network) Client() *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return network.Dial(ctx, address)
		},
		ExpectContinueTimeout: continueTimeout,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   maxIdleConnsPerHost,
		DisableCompression:    true,
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
