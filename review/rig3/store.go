package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: topics with one partition, whose newest record of each key is kept.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	down   func(host string) string // fault of a caller: "", "busy" or "silent"
}

type topic struct {
	records   []record
	changed   chan struct{}
	producers map[string]*producer
}

type record struct {
	key   string
	value []byte
}

type producer struct {
	epoch, next int64
	answers     map[int64][]byte
}

const (
	appendTime   = 2 * time.Millisecond
	recordBytes  = 262144
	requestBytes = 2097152
	pageItems    = 500
	pageBytes    = 1 << 20
	keptAnswers  = 5
)

func newStore() *store {
	return &store{topics: map[string]*topic{}, down: func(string) string { return "" }}
}

func (store *store) topic(name string) *topic {
	found := store.topics[name]
	if found == nil {
		found = &topic{changed: make(chan struct{}), producers: map[string]*producer{}}
		store.topics[name] = found
	}
	return found
}

func (topic *topic) add(records []record) {
	topic.records = append(topic.records, records...)
	close(topic.changed)
	topic.changed = make(chan struct{})
}

// put appends a record as the operator or a worker does. Without a value, the key is dropped.
func (store *store) put(name, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topic(name).add([]record{{key, value}})
}

// handler serves one host, whose name tells which faults apply.
func (store *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	guard := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			switch store.down(host) {
			case "busy":
				w.WriteHeader(http.StatusServiceUnavailable)
			case "silent":
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			default:
				serve(w, r)
			}
		}
	}
	mux.HandleFunc("POST /-/log-append", guard(store.serveAppend))
	mux.HandleFunc("GET /-/log-read", guard(store.serveRead))
	mux.HandleFunc("GET /-/log-newest", guard(store.serveNewest))
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(text string) int64 {
	value, _ := strconv.ParseInt(text, 10, 64)
	return value
}

func (store *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, requestBytes+65536))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var records []record
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > len(body) || size > recordBytes || 1+int(body[0]) > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		key := string(body[1 : 1+int(body[0])])
		records = append(records, record{key, slices.Clone(body[1+len(key) : size])})
		body = body[size:]
	}
	time.Sleep(appendTime)
	query := r.URL.Query()
	if name := query.Get("topic"); name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	t := store.topic(query.Get("topic"))
	end := int64(len(t.records))
	if at := query.Get("at"); at != "" && number(at) != end {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	answer := func() []byte {
		data, _ := json.Marshal(map[string]int64{"offset": end, "end": end + int64(len(records))})
		return data
	}
	if name := query.Get("producer"); name != "" {
		epoch, sequence := number(query.Get("epoch")), number(query.Get("seq"))
		p := t.producers[name]
		if p == nil {
			p = &producer{epoch: -1}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch, next: -1, answers: map[int64][]byte{}}
		}
		if kept, found := p.answers[sequence]; found && len(records) > 0 {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(kept)
			return
		}
		if len(records) > 0 {
			if p.next >= 0 && sequence != p.next {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
				return
			}
			p.next = sequence + 1
			p.answers[sequence] = answer()
			delete(p.answers, sequence-keptAnswers)
		}
	}
	data := answer()
	t.add(records)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (store *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := max(number(query.Get("from")), 0)
	timer := time.NewTimer(time.Duration(min(number(query.Get("waitMs")), 30000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		store.mu.Lock()
		t := store.topic(query.Get("topic"))
		end, changed := int64(len(t.records)), t.changed
		records := t.records[min(from, end):]
		store.mu.Unlock()
		if len(records) == 0 && waiting {
			select {
			case <-changed:
			case <-timer.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		data := binary.BigEndian.AppendUint64(nil, uint64(end))
		data = binary.BigEndian.AppendUint64(data, 0)
		for _, record := range records {
			if len(data) > pageBytes {
				break
			}
			data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
			data = append(data, byte(len(record.key)))
			data = append(data, record.key...)
			data = append(data, record.value...)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(data)
		return
	}
}

func (store *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	store.mu.Lock()
	t := store.topic(query.Get("topic"))
	end := int64(len(t.records))
	newest := map[string]int{}
	for offset, record := range t.records {
		newest[record.key] = offset
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	records := slices.Clone(t.records)
	store.mu.Unlock()
	var keys []string
	for key := range newest {
		if after := query.Get("dependsOn"); after == "" || key > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			break
		}
		value := records[newest[key]].value
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "end": end})
}
