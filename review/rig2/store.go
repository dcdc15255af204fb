package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log service. It keeps all records and serves appends, reads and the newest record of each key.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records   [][]byte
	changed   chan struct{} // closed and replaced when records are appended
	producers map[string]*producer
}

type producer struct {
	epoch   int64
	next    int64 // sequence number of the next append, -1 for any
	answers map[int64]string
}

const appendTime = 2 * time.Millisecond

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (store *store) topic(name string) *topic {
	found := store.topics[name]
	if found == nil {
		found = &topic{changed: make(chan struct{}), producers: map[string]*producer{}}
		store.topics[name] = found
	}
	return found
}

func (topic *topic) add(records [][]byte) {
	topic.records = append(topic.records, records...)
	close(topic.changed)
	topic.changed = make(chan struct{})
}

// put appends a record as the operator and the workers do. A nil value deletes the key.
func (store *store) put(name, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	store.topic(name).add([][]byte{append(record, value...)})
}

func (store *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", store.append)
	mux.HandleFunc("GET /-/log-read", store.read)
	mux.HandleFunc("GET /-/log-newest", store.newest)
	return mux
}

func answer(writer http.ResponseWriter, status int, body string) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
}

func number(request *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	return value
}

func (store *store) append(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size {
			answer(writer, http.StatusBadRequest, `{}`)
			return
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	time.Sleep(appendTime)
	store.mu.Lock()
	defer store.mu.Unlock()
	query := request.URL.Query()
	topic := store.topic(query.Get("topic"))
	end := int64(len(topic.records))
	if query.Has("at") && number(request, "at") != end {
		answer(writer, http.StatusPreconditionFailed, `{"end":`+strconv.FormatInt(end, 10)+`}`)
		return
	}
	if name := query.Get("producer"); name != "" {
		status, text, done := topic.check(name, number(request, "epoch"), number(request, "seq"), len(records) == 0)
		if done {
			answer(writer, status, text)
			return
		}
	}
	text := `{"offset":` + strconv.FormatInt(end, 10) + `,"end":` + strconv.FormatInt(end+int64(len(records)), 10) + `}`
	if name := query.Get("producer"); name != "" && len(records) > 0 {
		producer := topic.producers[name]
		producer.answers[producer.next-1] = text
		delete(producer.answers, producer.next-6)
	}
	if len(records) > 0 {
		topic.add(records)
	}
	answer(writer, http.StatusOK, text)
}

// check applies the rules for epochs and sequence numbers. done reports whether the append ends with the status.
func (topic *topic) check(name string, epoch, seq int64, empty bool) (status int, text string, done bool) {
	writer := topic.producers[name]
	if writer == nil {
		writer = &producer{epoch: epoch, next: -1, answers: map[int64]string{}}
		topic.producers[name] = writer
	}
	switch {
	case epoch < writer.epoch:
		return http.StatusConflict, `{"reason":"fenced"}`, true
	case epoch > writer.epoch:
		writer.epoch, writer.next, writer.answers = epoch, -1, map[int64]string{}
	}
	if empty {
		return 0, "", false
	}
	if former, found := writer.answers[seq]; found && seq < writer.next {
		return http.StatusOK, former, true
	}
	if writer.next >= 0 && seq != writer.next {
		return http.StatusConflict, `{"reason":"seq","seq":` + strconv.FormatInt(writer.next, 10) + `}`, true
	}
	writer.next = seq + 1
	return 0, "", false
}

func (store *store) read(writer http.ResponseWriter, request *http.Request) {
	from, wait := number(request, "from"), time.Duration(number(request, "waitMs"))*time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		store.mu.Lock()
		topic := store.topic(request.URL.Query().Get("topic"))
		records, changed := topic.records, topic.changed
		store.mu.Unlock()
		expired := false
		if int64(len(records)) <= from {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-timer.C:
				expired = true
			}
		}
		if int64(len(records)) <= from && !expired {
			continue
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for index := from; index < int64(len(records)); index++ {
			body = binary.BigEndian.AppendUint32(body, uint32(len(records[index])))
			body = append(body, records[index]...)
		}
		_, _ = writer.Write(body)
		return
	}
}

func (store *store) newest(writer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(request.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	latest := map[string]item{}
	for offset, record := range topic.records {
		size := int(record[0])
		key, value := string(record[1:1+size]), record[1+size:]
		if len(value) == 0 {
			delete(latest, key)
			continue
		}
		latest[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
	}
	items := make([]item, 0, len(latest))
	for _, entry := range latest {
		if after := request.URL.Query().Get("dependsOn"); entry.Key > after {
			items = append(items, entry)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	const pageSize = 500
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	body, _ := json.Marshal(map[string]any{"items": items, "hasMore": more, "end": len(topic.records)})
	answer(writer, http.StatusOK, string(body))
}
