package server

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"sync"
)

// keptCopy passes an answer to the caller, flushing as it goes, and keeps a small one. A stream of records
// can be ended behind a whole record.
type keptCopy struct {
	w       http.ResponseWriter
	began   bool
	keep    bool
	kept    KeptResponse
	records []byte // what ends a record of the stream, nil where the answer is no such stream

	mu        sync.Mutex
	delivered int64
	whole     bool // nothing or whole records were delivered
	ending    bool
}

// errStreamEnded says that a stream was ended behind a record because this host is stopping.
var errStreamEnded = errors.New("the stream was ended behind a record")

// recordEnds are the streams whose records have an end that callers know.
var recordEnds = map[string]string{
	"application/jsonl":    "\n",
	"application/x-ndjson": "\n",
	"text/event-stream":    "\n\n",
}

func newKeptCopy(w http.ResponseWriter, response *http.Response, keep bool) *keptCopy {
	kept := KeptResponse{Status: response.StatusCode, Header: http.Header{}}
	copyHeader(kept.Header, response.Header)
	copied := &keptCopy{w: w, keep: keep, kept: kept, whole: true}
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if end, known := recordEnds[media]; err == nil && known {
		copied.records = []byte(end)
	}
	return copied
}

// Write passes a part of the answer on.
func (keptCopy *keptCopy) Write(data []byte) (int, error) {
	keptCopy.remember(data)
	part, last := keptCopy.part(data)
	count, err := keptCopy.w.Write(part)
	if err != nil {
		return count, fmt.Errorf("write answer: %w", err)
	}
	if err := http.NewResponseController(keptCopy.w).Flush(); err != nil {
		return count, fmt.Errorf("flush answer: %w", err)
	}
	keptCopy.note(part)
	if last {
		return count, errStreamEnded
	}
	return count, nil
}

// remember keeps an answer as long as it is small.
func (keptCopy *keptCopy) remember(data []byte) {
	if keptCopy.keep && len(keptCopy.kept.Body)+len(data) <= mostKept {
		keptCopy.kept.Body = append(keptCopy.kept.Body, data...)
		return
	}
	keptCopy.keep = false
	keptCopy.kept.Body = nil
}

// part returns what of the data still goes to the caller, and whether it is the last of an ending stream.
func (keptCopy *keptCopy) part(data []byte) ([]byte, bool) {
	keptCopy.mu.Lock()
	defer keptCopy.mu.Unlock()
	if !keptCopy.ending {
		return data, false
	}
	at := bytes.LastIndex(data, keptCopy.records)
	if at < 0 {
		return data, false
	}
	return data[:at+len(keptCopy.records)], true
}

func (keptCopy *keptCopy) note(part []byte) {
	keptCopy.mu.Lock()
	defer keptCopy.mu.Unlock()
	keptCopy.delivered += int64(len(part))
	keptCopy.whole = keptCopy.records != nil && bytes.HasSuffix(part, keptCopy.records)
}

// end asks a stream of records to end, and reports whether it stands behind a whole record now.
func (keptCopy *keptCopy) end() bool {
	keptCopy.mu.Lock()
	defer keptCopy.mu.Unlock()
	if keptCopy.records == nil {
		return false
	}
	keptCopy.ending = true
	return keptCopy.whole
}

// ended reports whether a stream was asked to end and stands behind a whole record.
func (keptCopy *keptCopy) ended() bool {
	keptCopy.mu.Lock()
	defer keptCopy.mu.Unlock()
	return keptCopy.ending && keptCopy.whole
}
