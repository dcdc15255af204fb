package builder

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// ports allocates addresses for a cell. Loopback addresses are reserved by a listener, which stays open until listen
// returns it, so that no other process gets the port in between.
type ports struct {
	mu              sync.Mutex
	fabricAddresses int                     // number of addresses allocated for a fabric
	reserved        map[string]net.Listener // by address
}

// hostsPerSubnet is the number of addresses that differ only in the last byte, which has values from 1 to 250.
const hostsPerSubnet = 250

func (ports *ports) nextFabricAddress() string {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	ports.fabricAddresses++
	return fmt.Sprintf("127.1.%d.%d:7000", ports.fabricAddresses/hostsPerSubnet, ports.fabricAddresses%hostsPerSubnet+1)
}

func (ports *ports) reserveLoopback() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("reserve port: %w", err)
	}
	ports.mu.Lock()
	defer ports.mu.Unlock()
	address := listener.Addr().String()
	ports.reserved[address] = listener
	return address, nil
}

// listen returns the listener that reserves an address, or listens on an address that is not reserved.
func (ports *ports) listen(address string) (net.Listener, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if listener, isReserved := ports.reserved[address]; isReserved {
		delete(ports.reserved, address)
		return listener, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

func (ports *ports) close() error {
	var joined error
	for _, listener := range ports.reserved {
		joined = errors.Join(joined, listener.Close())
	}
	return joined
}
