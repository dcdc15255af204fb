package server

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"sync"
)

// answerWriter forwards an answer to the caller and flushes after each write. For an idempotency key, it also records
// an answer of at most maxStoredAnswerBytes. A stream of records can be ended early, after a complete record.
type answerWriter struct {
	w         http.ResponseWriter
	began     bool // status and headers have been sent
	recording bool // the answer is being recorded
	recorded  StoredResponse
	delimiter []byte // end of a record, nil if the answer is not a stream of records

	mu             sync.Mutex
	deliveredBytes int64
	atRecordEnd    bool // nothing, or only complete records, have been delivered
	endRequested   bool
}

// errStreamEnded ends a stream after a complete record because this host is stopping.
var errStreamEnded = errors.New("the stream was ended after a complete record")

// recordDelimiters maps the media types of record streams to the end of a record.
var recordDelimiters = map[string]string{
	"application/jsonl":    "\n",
	"application/x-ndjson": "\n",
	"text/event-stream":    "\n\n",
}

func newAnswerWriter(w http.ResponseWriter, response *http.Response, recording bool) *answerWriter {
	recorded := StoredResponse{Status: response.StatusCode, Header: http.Header{}}
	copyHeader(recorded.Header, response.Header)
	writer := &answerWriter{w: w, recording: recording, recorded: recorded, atRecordEnd: true}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if recordEnd, known := recordDelimiters[mediaType]; err == nil && known {
		writer.delimiter = []byte(recordEnd)
	}
	return writer
}

// Write forwards a part of the answer. It returns errStreamEnded after the last record of a stream that is to end.
func (answerWriter *answerWriter) Write(data []byte) (int, error) {
	answerWriter.record(data)
	part, last := answerWriter.untilRecordEnd(data)
	count, err := answerWriter.w.Write(part)
	if err != nil {
		return count, fmt.Errorf("write answer: %w", err)
	}
	if err := http.NewResponseController(answerWriter.w).Flush(); err != nil {
		return count, fmt.Errorf("flush answer: %w", err)
	}
	answerWriter.countDelivered(part)
	if last {
		return count, errStreamEnded
	}
	return count, nil
}

// record adds data to the recorded answer, and drops the record if the answer exceeds maxStoredAnswerBytes.
func (answerWriter *answerWriter) record(data []byte) {
	if answerWriter.recording && len(answerWriter.recorded.Body)+len(data) <= maxStoredAnswerBytes {
		answerWriter.recorded.Body = append(answerWriter.recorded.Body, data...)
		return
	}
	answerWriter.recording = false
	answerWriter.recorded.Body = nil
}

// untilRecordEnd returns the part of the data to forward, and whether the stream ends with it.
func (answerWriter *answerWriter) untilRecordEnd(data []byte) ([]byte, bool) {
	answerWriter.mu.Lock()
	defer answerWriter.mu.Unlock()
	if !answerWriter.endRequested {
		return data, false
	}
	index := bytes.LastIndex(data, answerWriter.delimiter)
	if index < 0 {
		return data, false
	}
	return data[:index+len(answerWriter.delimiter)], true
}

func (answerWriter *answerWriter) countDelivered(part []byte) {
	answerWriter.mu.Lock()
	defer answerWriter.mu.Unlock()
	answerWriter.deliveredBytes += int64(len(part))
	answerWriter.atRecordEnd = answerWriter.delimiter != nil && bytes.HasSuffix(part, answerWriter.delimiter)
}

// requestEnd requests the end of a stream of records, and reports whether the delivered part ends with a complete
// record already. It has no effect on other answers.
func (answerWriter *answerWriter) requestEnd() bool {
	answerWriter.mu.Lock()
	defer answerWriter.mu.Unlock()
	if answerWriter.delimiter == nil {
		return false
	}
	answerWriter.endRequested = true
	return answerWriter.atRecordEnd
}

// endedAtRecord reports whether an end was requested and the delivered part of the stream ends with a complete record.
func (answerWriter *answerWriter) endedAtRecord() bool {
	answerWriter.mu.Lock()
	defer answerWriter.mu.Unlock()
	return answerWriter.endRequested && answerWriter.atRecordEnd
}
