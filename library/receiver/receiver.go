// Package receiver reads the bodies of HTTP requests into memory, within a budget that all requests share and within a time.
package receiver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"ebonyshunt.org/library/budgeter"
	"github.com/zeebo/errs"
)

// ErrLate reports that a body did not arrive in time.
var ErrLate = errs.Class("the request body did not arrive in time")

// Receiver reads bodies.
type Receiver struct {
	Budget  *budgeter.Budget
	Timeout time.Duration // of a body from the end of the head, the maximum
}

// Body is a body that was read. It has to be closed, which returns its memory to the budget.
type Body struct {
	Data  []byte
	claim *budgeter.Claim
}

// Reserve claims a number of bytes of memory for what was made from the body, until Close. The error is of class budgeter.ErrFull if
// there is none.
func (body *Body) Reserve(bytes int64) error {
	if err := body.claim.Add(bytes); err != nil {
		return fmt.Errorf("claim memory: %w", err)
	}
	return nil
}

// Close returns the memory of the body, and of what was made from it, to the budget.
func (body *Body) Close() { body.claim.Release() }

const (
	// CostPerByte is the memory that a request takes for each byte of its body: the body, its decoded form, and the messages in which it
	// is passed on.
	CostPerByte = 6
	// firstBytes is the size for which memory is claimed first for a body of unknown length.
	firstBytes = 4 << 10
)

// Receive reads the body of a request of at most maxBytes within a time. The error is a *http.MaxBytesError for a larger body, of
// class ErrLate or budgeter.ErrEvicted for one that took too long, and of class budgeter.ErrFull if there is no memory for it now.
// Without reading a body to its end, it lets the connection be closed after the answer.
func (receiver *Receiver) Receive(writer http.ResponseWriter, request *http.Request, maxBytes int64, timeout time.Duration) (*Body, error) {
	maxBytes = min(maxBytes, receiver.Budget.MaxBytes()/CostPerByte)
	body, err := receiver.receive(writer, request, maxBytes, min(timeout, receiver.Timeout))
	if err != nil {
		writer.Header().Set("Connection", "close")
	}
	return body, err
}

func (receiver *Receiver) receive(writer http.ResponseWriter, request *http.Request, maxBytes int64, timeout time.Duration) (*Body, error) {
	size := request.ContentLength
	if size > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	if size < 0 {
		size = min(firstBytes, maxBytes)
	}
	controller := http.NewResponseController(writer)
	// Without a deadline, which an http.ResponseWriter of a test may not have, the read ends with the connection.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	claim, err := receiver.Budget.Claim(size*CostPerByte, func() { _ = controller.SetReadDeadline(time.Now()) })
	if err != nil {
		return nil, fmt.Errorf("claim memory: %w", err)
	}
	data, err := read(http.MaxBytesReader(writer, request.Body, maxBytes), claim, size, maxBytes)
	if err == nil {
		err = claim.Arrived()
	}
	if err != nil {
		claim.Release()
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return &Body{Data: data, claim: claim}, nil
}

// read reads a body, for which the memory of a size is claimed, to its end.
func read(source io.Reader, claim *budgeter.Claim, size, maxBytes int64) ([]byte, error) {
	data := make([]byte, 0, size+1) // one byte more, to read the end
	for {
		count, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrLate.Wrap(err)
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		}
		if len(data) < cap(data) {
			continue
		}
		size = min(2*size, maxBytes)
		if err := claim.Grow(size * CostPerByte); err != nil {
			return nil, fmt.Errorf("claim memory: %w", err)
		}
		data = append(make([]byte, 0, size+1), data...)
	}
}
