package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
)

// body is a request's body, which is streamed to the worker; one that must be fingerprinted and is
// small is read first and can then be sent more than once.
type body struct {
	source   io.Reader
	buffered []byte
	whole    bool
	touched  bool
}

func newBody(w http.ResponseWriter, r *http.Request, most int64) *body {
	return &body{source: http.MaxBytesReader(w, r.Body, most)}
}

// Read reads from the caller and notes that it did.
func (body *body) Read(data []byte) (int, error) {
	body.touched = true
	return body.source.Read(data)
}

// Close leaves the caller's body to the HTTP server.
func (body *body) Close() error { return nil }

// reader returns the body for one attempt.
func (body *body) reader() io.Reader {
	if body.whole {
		return bytes.NewReader(body.buffered)
	}
	return body
}

// untouched reports whether another attempt can send the same body.
func (body *body) untouched() bool { return body.whole || !body.touched }

// buffer reads a small body whole; a larger one stays a stream.
func (body *body) buffer() error {
	data, err := io.ReadAll(io.LimitReader(body.source, mostKept+1))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	body.buffered = data
	if len(data) <= mostKept {
		body.whole = true
		return nil
	}
	body.source = io.MultiReader(bytes.NewReader(data), body.source)
	return nil
}

// fingerprint identifies a request for its idempotency key: by the caller's own digest (RFC 9530), or by
// the body where it is small, or by what came of it first.
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
