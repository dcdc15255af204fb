package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// WithConn adds a connection to the context of its requests. It is the ConnContext of an http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Handle returns a handler that tells the connection of each request when the request was received and when it was answered.
func Handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(writer, request)
			return
		}
		defer conn.endRequest()
		if request.Body == nil || request.Body == http.NoBody {
			conn.beginRequest()
		} else {
			conn.beginBody()
			received := *request // http.Server decides by the type of the body of its own request what it does with an unread one
			received.Body = &body{ReadCloser: request.Body, conn: conn}
			request = &received
		}
		next.ServeHTTP(writer, request)
	})
}

// Resumable records that the client of a request can resume the answer over another connection, so that this one may be closed for a
// new one.
func Resumable(request *http.Request) {
	if conn, ok := request.Context().Value(connKey{}).(*Conn); ok {
		conn.makeResumable()
	}
}

// body is the body of a request, which tells its connection when it was received.
type body struct {
	io.ReadCloser
	conn     *Conn
	received bool
}

// Read reads from the body.
func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) && !body.received {
		body.received = true
		body.conn.endBody()
	}
	return count, err //nolint:wrapcheck // io.EOF is compared
}
