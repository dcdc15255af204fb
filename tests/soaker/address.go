// Package soaker runs scheduling hosts as separate processes against an emulated platform on loopback, injects
// faults from outside them, and checks the platform's rules from what clients and workers see.
package soaker

import "fmt"

// Each address has the form 127.SOURCE.GROUP.NUMBER. Source 0 is the address on which a server listens; another
// source is that of the proxy through which this host or the client reaches the server. A digit as source keeps all
// forms of an address at the same length, so that one replaces another inside a message.
const (
	listening    = 0
	clientSource = 9 // hosts have the sources 1 to 8
	maxHosts     = 8
)

// The groups of addresses. The number is that of the host or worker.
const (
	storeGroup     = 1
	httpGroup      = 2
	readinessGroup = 3
	peerGroup      = 4
	workerGroup    = 5
)

// endpoint is a server that hosts or clients connect to.
type endpoint struct {
	group  int
	number int
}

// String returns a name for logs.
func (endpoint endpoint) String() string {
	names := map[int]string{storeGroup: "store", httpGroup: "http", readinessGroup: "readiness", peerGroup: "peer", workerGroup: "worker"}
	return fmt.Sprintf("%s-%d", names[endpoint.group], endpoint.number)
}

// address returns the address under which a source reaches the endpoint.
func (endpoint endpoint) address(source, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", source, endpoint.group, endpoint.number, port)
}

// addressPrefix is what all addresses of a run begin with. A digit and a dot follow.
const addressPrefix = "127."

// readdress replaces, in place, the source in each address by the given one.
func readdress(data []byte, source int) {
	digit := len(addressPrefix)
	for index := 0; index+digit+1 < len(data); index++ {
		found := data[index:]
		if string(found[:digit]) == addressPrefix && found[digit] >= '0' && found[digit] <= '9' && found[digit+1] == '.' {
			found[digit] = byte('0' + source)
		}
	}
}

// splitAddress returns how many bytes at the end of data may be the beginning of an address.
func splitAddress(data []byte) int {
	const longest = len(addressPrefix) + 1
	for count := min(longest, len(data)); count > 0; count-- {
		tail := string(data[len(data)-count:])
		isPrefix := count <= len(addressPrefix) && tail == addressPrefix[:count]
		isWhole := count == longest && tail[:len(addressPrefix)] == addressPrefix
		if isPrefix || isWhole {
			return count
		}
	}
	return 0
}
