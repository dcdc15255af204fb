// Package logger is the adapter to the platform's append-only log service.
//
// Nothing else knows the service's protocol, which docs/PLATFORM.md describes.
package logger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("logger")

// ErrUncertain marks an append that may have taken effect although no answer came.
var ErrUncertain = errs.Class("append uncertain")

// Entry is one record with its offset; offsets count from 1.
type Entry struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is a run of records; records before Oldest were dropped.
type Page struct {
	Oldest  int64   `json:"oldest"`
	Next    int64   `json:"next"` // offset that the next append gets
	Entries []Entry `json:"entries"`
}

// UnmarshalJSON decodes a page and refuses offsets out of order.
func (page *Page) UnmarshalJSON(data []byte) error {
	type plain Page
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode page: %w", err)
	}
	for i, entry := range decoded.Entries {
		if entry.Offset < decoded.Oldest || entry.Offset != decoded.Entries[0].Offset+int64(i) {
			return Error.New("offset %d out of order", entry.Offset)
		}
	}
	*page = Page(decoded)
	return nil
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data json.RawMessage `json:"data"`
}

// AppendAnswer tells where the record stands.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// Client reads and appends to one stream.
type Client struct {
	http   *http.Client
	stream string // URL of the stream
}

// New returns a client of a stream at an address of the log service.
func New(client *http.Client, address, stream string) *Client {
	return &Client{http: client, stream: "http://" + address + "/v1/streams/" + stream + "/records"}
}

// Append adds a record and returns its offset. An error of class ErrUncertain means that the record
// may stand in the log all the same; any other error means that it does not.
func (client *Client) Append(ctx context.Context, record any) (int64, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, fmt.Errorf("encode append: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.stream, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build append: %w", err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return 0, ErrUncertain.Wrap(fmt.Errorf("append: %w", err))
	}
	defer response.Body.Close()
	return readAppend(response)
}

func readAppend(response *http.Response) (int64, error) {
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError {
		return 0, Error.New("append refused with status %d", response.StatusCode)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return 0, Error.New("log service is down")
	}
	var answer AppendAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Offset == 0 {
		return 0, ErrUncertain.New("append answered with status %d: %v", response.StatusCode, err)
	}
	return answer.Offset, nil
}

// Read returns records from an offset on, waiting up to wait for the first.
func (client *Client) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%d&waitMS=%d", client.stream, from, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, fmt.Errorf("build read: %w", err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return Page{}, Error.New("read answered with status %d", response.StatusCode)
	}
	var page Page
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	return page, nil
}
