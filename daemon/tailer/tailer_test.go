package tailer

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/library/replayer"
)

const (
	oldestOffset     = 1000
	checkpointOffset = 1200
	pageLength       = 10
	readDuration     = time.Second
)

// slowLog is a log service that has dropped the records before oldestOffset, and whose reads take readDuration. The
// record at checkpointOffset is a checkpoint, all others are empty.
type slowLog struct{ checkpoint json.RawMessage }

// RoundTrip answers a read with the page that begins at the wanted offset.
func (slowLog slowLog) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(readDuration):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	from, err := strconv.ParseInt(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		return nil, err
	}
	page := logger.Page{Oldest: oldestOffset, Next: checkpointOffset + 1}
	for offset := max(from, oldestOffset); offset < page.Next && len(page.Entries) < pageLength; offset++ {
		entry := logger.Entry{Offset: offset, Data: json.RawMessage("{}")}
		if offset == checkpointOffset {
			entry.Data = slowLog.checkpoint
		}
		page.Entries = append(page.Entries, entry)
	}
	data, err := json.Marshal(page)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(data))}, nil
}

// TestLongCheckpointSearch guards against a search for a checkpoint that never ends because one time limit covers the reads
// of all pages before it.
func TestLongCheckpointSearch(t *testing.T) {
	const limit = time.Minute // the search reads 21 pages
	synctest.Test(t, func(t *testing.T) {
		record := (&replayer.Register{}).Checkpoint("c", "h")
		record.AsOf = checkpointOffset - 1
		data, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		client := logger.New(&http.Client{Transport: slowLog{checkpoint: data}}, "log", "fleet")
		var register replayer.Register
		tailer := Start(client, &register, slog.New(slog.DiscardHandler), func(int64) {})
		defer tailer.Close()
		time.Sleep(limit)
		if register.AsOf() < checkpointOffset-1 {
			t.Errorf("the register is at offset %d after %s, want that of the checkpoint", register.AsOf(), limit)
		}
	})
}
