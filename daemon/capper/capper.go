// Package capper bounds the bytes that the kernel keeps of connections. Those of a network in memory have no such bounds.
package capper

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// LimitReceived bounds the number of bytes that the kernel keeps of a connection until they are read. It may take twice as many.
func LimitReceived(conn net.Conn, bytes int) {
	set(conn, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
}

// maxUnsentBytes is the number of written bytes that wait on a connection until they can be sent. The kernel rounds it up to one packet,
// which has up to 64 KB before the network interface divides it.
const maxUnsentBytes = 16 << 10

// LimitUnsent bounds the number of bytes that were written to a connection and that the other side has no room for. Writes wait for it.
func LimitUnsent(conn net.Conn) {
	set(conn, syscall.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
}

// set sets an option of a connection's socket. Where there is none, or the option is not known, the bounds of the kernel hold.
func set(conn net.Conn, level, option, value int) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), level, option, value)
	})
}
