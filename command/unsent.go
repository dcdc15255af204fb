package main

import (
	"errors"
	"net"
)

// unsent reports whether the error shows that no request was sent, because the connection could not be established.
func unsent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
