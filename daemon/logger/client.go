// Package logger is the client of the platform's append-only log service.
//
// No other package of the daemon depends on the service's protocol, which docs/PLATFORM.md describes.
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

// ErrUncertain marks an append that may have taken effect, although the service did not confirm it.
var ErrUncertain = errs.Class("append uncertain")

// Entry is one record with its offset in the stream. Offsets start at 1.
type Entry struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the answer to a read: consecutive records of the stream.
type Page struct {
	Oldest  int64   `json:"oldest"` // lowest offset that the service still retains
	Next    int64   `json:"next"`   // offset that the next appended record gets
	Entries []Entry `json:"entries"`
}

// UnmarshalJSON decodes a page and returns an error unless the offsets are consecutive and none is below Oldest.
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

// AppendRequest is the body of a request to append a record.
type AppendRequest struct {
	Data json.RawMessage `json:"data"`
}

// AppendAnswer is the body of the answer to an append, with the offset of the record.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// Client reads from one stream and appends to it.
type Client struct {
	http       *http.Client
	recordsURL string // URL of the stream's records
}

// New returns a client of a stream of the log service at an address.
func New(client *http.Client, address, stream string) *Client {
	return &Client{http: client, recordsURL: "http://" + address + "/v1/streams/" + stream + "/records"}
}

// Append adds a record to the stream and returns its offset. After an error of class ErrUncertain the record
// may be in the log; after any other error it is not.
func (client *Client) Append(ctx context.Context, record any) (int64, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, fmt.Errorf("encode append: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.recordsURL, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build append request: %w", err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return 0, ErrUncertain.Wrap(fmt.Errorf("send append: %w", err))
	}
	defer response.Body.Close()
	return decodeAppendAnswer(response)
}

func decodeAppendAnswer(response *http.Response) (int64, error) {
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError {
		return 0, Error.New("append rejected with status %d", response.StatusCode)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return 0, Error.New("append rejected: log service is unavailable")
	}
	var answer AppendAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Offset == 0 {
		return 0, ErrUncertain.New("append answered with status %d and no offset: %v", response.StatusCode, err)
	}
	return answer.Offset, nil
}

// Read returns the records from an offset on. If there are none, the service waits up to wait for the next one.
func (client *Client) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%d&waitMS=%d", client.recordsURL, from, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, fmt.Errorf("build read request: %w", err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return Page{}, Error.New("read log: unexpected status %d", response.StatusCode)
	}
	var page Page
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return Page{}, fmt.Errorf("decode log page: %w", err)
	}
	return page, nil
}
