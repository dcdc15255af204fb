// Package capper bounds the bytes that the kernel keeps of connections. Those of a network in memory have no such bounds.
package capper

import (
	"net"
	"syscall"
)

// LimitReceived bounds the number of bytes that the kernel keeps of a connection until they are read. It may take twice as many.
func LimitReceived(conn net.Conn, bytes int) {
	set(conn, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
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
