package builder

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// ports hands out addresses: invented ones for a fabric, or loopback ones whose listeners are kept open
// until they are asked for.
type ports struct {
	mu       sync.Mutex
	invented int
	open     map[string]net.Listener
}

const hostsPerNet = 250

func (ports *ports) invent() string {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	ports.invented++
	return fmt.Sprintf("127.1.%d.%d:7000", ports.invented/hostsPerNet, ports.invented%hostsPerNet+1)
}

func (ports *ports) reserve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("reserve port: %w", err)
	}
	ports.mu.Lock()
	defer ports.mu.Unlock()
	address := listener.Addr().String()
	ports.open[address] = listener
	return address, nil
}

func (ports *ports) listen(address string) (net.Listener, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if listener, reserved := ports.open[address]; reserved {
		delete(ports.open, address)
		return listener, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

func (ports *ports) close() error {
	var all error
	for _, listener := range ports.open {
		all = errors.Join(all, listener.Close())
	}
	return all
}
