package main

import (
	"errors"
	"net"
)

// unsent reports whether an error shows that a call never left this process.
func unsent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
