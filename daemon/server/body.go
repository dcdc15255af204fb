package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"ebonyshunt.org/library/budgeter"
	"ebonyshunt.org/library/receiver"
)

// body is the body of a request, which is streamed to the worker. A body of at most maxStoredAnswerBytes that has to be
// fingerprinted is read into memory first, and can then be sent more than once.
type body struct {
	source      io.Reader
	buffered    []byte // read for the fingerprint
	complete    bool   // buffered is the entire body
	readStarted bool   // an attempt has read from the stream
	claim       *budgeter.Claim
	received    func() // called once what is buffered was read
}

func newBody(w http.ResponseWriter, r *http.Request, maxBytes int64) *body {
	return &body{source: http.MaxBytesReader(w, r.Body, maxBytes)}
}

// Read reads from the stream and records that an attempt has done so.
func (body *body) Read(data []byte) (int, error) {
	body.readStarted = true
	return body.source.Read(data)
}

// Close does nothing: the HTTP server closes the body of the caller.
func (body *body) Close() error { return nil }

// reader returns the body for one attempt.
func (body *body) reader() io.Reader {
	if body.complete {
		return bytes.NewReader(body.buffered)
	}
	return body
}

// canResend reports whether another attempt can send the same body.
func (body *body) canResend() bool { return body.complete || !body.readStarted }

// buffer reads a body of at most maxStoredAnswerBytes into memory. A larger one stays a stream, and its beginning is
// stored for the fingerprint.
func (body *body) buffer() error {
	data, err := io.ReadAll(io.LimitReader(body.source, maxStoredAnswerBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return receiver.ErrLate.Wrap(err)
	}
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if body.claim != nil {
		if err := body.claim.Arrived(); err != nil {
			return fmt.Errorf("read body: %w", err)
		}
		body.received()
	}
	body.buffered = data
	if len(data) <= maxStoredAnswerBytes {
		body.complete = true
		return nil
	}
	body.source = io.MultiReader(bytes.NewReader(data), body.source)
	return nil
}

// fingerprint returns a SHA-256 digest in hex that identifies a request for its idempotency key. It covers method, URI,
// length and the caller's Content-Digest (RFC 9530). Without a Content-Digest, it covers the body, or the first
// maxStoredAnswerBytes+1 bytes of a larger one.
func (body *body) fingerprint(r *http.Request) (string, error) {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s %s\n%d\n", r.Method, r.URL.RequestURI(), r.ContentLength)
	if digest := r.Header.Get("Content-Digest"); digest != "" {
		fmt.Fprintln(hash, digest)
		return hex.EncodeToString(hash.Sum(nil)), nil
	}
	if err := body.buffer(); err != nil {
		return "", err
	}
	hash.Write(body.buffered)
	return hex.EncodeToString(hash.Sum(nil)), nil
}

// claimForFingerprint claims the memory for the part of a body that its fingerprint reads, and limits the time until that was read. The
// returned function returns the memory once the request has ended.
func (server *Server) claimForFingerprint(request *clientRequest) (func(), error) {
	const copies = 2 // the part that was read, and the buffer before it grew
	size := int64(maxStoredAnswerBytes + 1)
	if length := request.r.ContentLength; length >= 0 {
		size = min(size, length)
	}
	controller := http.NewResponseController(request.w)
	claim, err := server.bodies.Budget.Claim(copies*size, func() { _ = controller.SetReadDeadline(time.Now()) })
	if err != nil {
		return nil, fmt.Errorf("claim memory: %w", err)
	}
	request.body.claim = claim
	_ = controller.SetReadDeadline(time.Now().Add(receiveTimeout)) // without one, the read ends with the connection
	request.body.received = func() { _ = controller.SetReadDeadline(time.Time{}) }
	return claim.Release, nil
}
