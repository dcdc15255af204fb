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

// The limits of the store, as the platform's settings name them.
const (
	maxRecordBytes  = 262_144   // recordBytes
	maxRequestBytes = 2_097_152 // requestBytes
	appendTime      = 2 * time.Millisecond
	pageItems       = 500
	pageBytes       = 1 << 20
	readBytes       = 1 << 20 // the default of maxKb
	maxReadWait     = 30 * time.Second
	keptAnswers     = 5
)

// store is the platform's metadata store: one log of keyed records for each topic.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// refused counts the appends with a record above maxRecordBytes, by topic.
	refused map[string]int
	// conditional is the host that last made a conditional append.
	conditional string
	// newestServed is called, without the lock, before the last page of a topic's newest records is sent to a host.
	newestServed func(host, topic string)
}

// topic is a log with one partition.
type topic struct {
	records  []record
	newest   map[string]int // index of the newest record, by key
	changed  chan struct{}  // closed and replaced by each append
	writers  map[string]*writer
	appendMu sync.Mutex // a partition processes one append at a time
}

type record struct {
	key   string
	value []byte
}

// writer is the state of a producer in a topic.
type writer struct {
	epoch, next int64
	answers     map[int64][]byte
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, refused: map[string]int{}}
}

// topic returns a topic, and creates it if needed. The caller holds store.mu.
func (store *store) topic(name string) *topic {
	found := store.topics[name]
	if found == nil {
		found = &topic{newest: map[string]int{}, changed: make(chan struct{}), writers: map[string]*writer{}}
		store.topics[name] = found
	}
	return found
}

// add appends records. The caller holds store.mu.
func (topic *topic) add(records []record) {
	for _, added := range records {
		topic.records = append(topic.records, added)
		if len(added.value) == 0 {
			delete(topic.newest, added.key)
		} else {
			topic.newest[added.key] = len(topic.records) - 1
		}
	}
	close(topic.changed)
	topic.changed = make(chan struct{})
}

// put appends a record as the operator or a worker does.
func (store *store) put(topicName, key string, value any) {
	var data []byte
	if value != nil {
		data = encode(value)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topic(topicName).add([]record{{key, data}})
}

// value returns the newest value of a key, nil without one.
func (store *store) value(topicName, key string) []byte {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(topicName)
	index, found := topic.newest[key]
	if !found {
		return nil
	}
	return topic.records[index].value
}

// largest returns the size of the largest record of a topic whose key has a prefix.
func (store *store) largest(topicName, prefix string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	largest := 0
	for _, record := range store.topic(topicName).records {
		if strings.HasPrefix(record.key, prefix) {
			largest = max(largest, len(record.key)+len(record.value)+1)
		}
	}
	return largest
}

// lastConditional returns the host that last made a conditional append.
func (store *store) lastConditional() string {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.conditional
}

// refusals returns how many appends to a topic were refused for a record that was too large.
func (store *store) refusals(topicName string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.refused[topicName]
}

// handler serves the store to one host.
func (store *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", func(w http.ResponseWriter, r *http.Request) { store.serveAppend(w, r, host) })
	mux.HandleFunc("GET /-/log-read", store.serveRead)
	mux.HandleFunc("GET /-/log-newest", func(w http.ResponseWriter, r *http.Request) { store.serveNewest(w, r, host) })
	return mux
}

func (store *store) serveAppend(w http.ResponseWriter, r *http.Request, host string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil {
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	records, fits := decodeRecords(body)
	if len(body) > maxRequestBytes || !fits {
		store.mu.Lock()
		store.refused[name]++
		store.mu.Unlock()
		answer(w, http.StatusRequestEntityTooLarge, map[string]any{"reason": "size"})
		return
	}
	store.mu.Lock()
	topic := store.topic(name)
	store.mu.Unlock()
	topic.appendMu.Lock()
	time.Sleep(appendTime)
	store.mu.Lock()
	status, reply := topic.apply(query.Get, records)
	if query.Has("at") && status == http.StatusOK {
		store.conditional = host
	}
	store.mu.Unlock()
	topic.appendMu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(reply)
}

// apply carries out an append and returns its answer. The caller holds store.mu.
func (topic *topic) apply(query func(string) string, records []record) (int, []byte) {
	end := int64(len(topic.records))
	if at := query("at"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, encode(map[string]int64{"end": end})
	}
	name := query("producer")
	if name == "" {
		topic.add(records)
		return http.StatusOK, encode(map[string]int64{"offset": end, "end": int64(len(topic.records))})
	}
	epoch, _ := strconv.ParseInt(query("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(query("seq"), 10, 64)
	sender := topic.writers[name]
	if sender == nil {
		sender = &writer{epoch: -1}
		topic.writers[name] = sender
	}
	if epoch < sender.epoch {
		return http.StatusConflict, encode(map[string]any{"reason": "fenced"})
	}
	if epoch > sender.epoch {
		*sender = writer{epoch: epoch, next: -1, answers: map[int64][]byte{}}
	}
	if len(records) == 0 {
		return http.StatusOK, encode(map[string]int64{"offset": end, "end": end})
	}
	if repeated, found := sender.answers[sequence]; found {
		return http.StatusOK, repeated
	}
	if sender.next >= 0 && sequence != sender.next {
		return http.StatusConflict, encode(map[string]any{"reason": "seq", "seq": sender.next})
	}
	topic.add(records)
	sender.next = sequence + 1
	sender.answers[sequence] = encode(map[string]int64{"offset": end, "end": int64(len(topic.records))})
	delete(sender.answers, sequence-keptAnswers)
	return http.StatusOK, sender.answers[sequence]
}

func (store *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	defer timer.Stop()
	for over := false; ; {
		store.mu.Lock()
		topic := store.topic(query.Get("topic"))
		end, changed := len(topic.records), topic.changed
		records := topic.records[min(max(from, 0), end):]
		store.mu.Unlock()
		if len(records) > 0 || over {
			_, _ = w.Write(encodeRecords(end, records))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(end int, records []record) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, 0)
	for index, read := range records {
		if index > 0 && len(body)+len(read.value) > readBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(read.key)+len(read.value)))
		body = append(body, byte(len(read.key)))
		body = append(body, read.key...)
		body = append(body, read.value...)
	}
	return body
}

// decodeRecords decodes the records of an append, and reports whether each is within maxRecordBytes.
func decodeRecords(body []byte) ([]record, bool) {
	var records []record
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > maxRecordBytes {
			return nil, false
		}
		if size == 0 || size > len(body) || int(body[0]) >= size {
			return records, true
		}
		key := string(body[1 : 1+int(body[0])])
		records = append(records, record{key, slices.Clone(body[1+len(key) : size])})
		body = body[size:]
	}
	return records, true
}

func (store *store) serveNewest(w http.ResponseWriter, r *http.Request, host string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	name, after := r.URL.Query().Get("topic"), r.URL.Query().Get("dependsOn")
	store.mu.Lock()
	topic := store.topic(name)
	var keys []string
	for key := range topic.newest {
		if after == "" || key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		found := topic.records[topic.newest[key]]
		if len(items) == pageItems || len(items) > 0 && size+len(found.value) > pageBytes {
			more = true
			break
		}
		size += len(found.value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(found.value), topic.newest[key]})
	}
	end, served := len(topic.records), store.newestServed
	store.mu.Unlock()
	if served != nil && !more {
		served(host, name)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(body))
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: callers pass only maps, lists and structs of numbers and texts
	}
	return data
}
