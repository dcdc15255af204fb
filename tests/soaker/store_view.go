package soaker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// storeView serves the store to one host. The addresses in what the host reads are those of its own links.
type storeView struct {
	store  http.Handler
	source int
}

// ServeHTTP passes a request to the store and readdresses the answer.
func (storeView *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := &recordedAnswer{header: w.Header(), status: http.StatusOK}
	storeView.store.ServeHTTP(recorded, r)
	body := recorded.body.Bytes()
	if strings.HasSuffix(r.URL.Path, "/log-newest") && recorded.status == http.StatusOK {
		body = storeView.readdressItems(body)
	}
	readdress(body, storeView.source)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(recorded.status)
	_, _ = w.Write(body)
}

// readdressItems readdresses the values in a page of the newest records, which are in base64.
func (storeView *storeView) readdressItems(body []byte) []byte {
	var page struct {
		Items []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"items"`
		HasMore bool  `json:"hasMore"`
		End     int64 `json:"end"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return body
	}
	for _, item := range page.Items {
		readdress(item.Value, storeView.source)
	}
	readdressed, err := json.Marshal(page)
	if err != nil {
		return body
	}
	return readdressed
}

// recordedAnswer collects the answer of a handler.
type recordedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (recordedAnswer *recordedAnswer) Header() http.Header { return recordedAnswer.header }

// WriteHeader sets the status.
func (recordedAnswer *recordedAnswer) WriteHeader(status int) { recordedAnswer.status = status }

// Write adds to the body.
func (recordedAnswer *recordedAnswer) Write(data []byte) (int, error) {
	return recordedAnswer.body.Write(data)
}
