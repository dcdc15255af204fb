// Package emulator implements stand-ins for the users' platform: its store and its workers, each with faults that a
// test injects. They serve the platform's published protocol and keep all data in memory.
package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Store is a stand-in for the platform's log service: it keeps a log of keyed records per topic.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	faults  StoreFaults
	appends int        // append requests received
	random  *rand.Rand // with a fixed seed, for LateShare and Spread
}

// StoreFaults configures the faults that the store injects. The zero value injects none.
type StoreFaults struct {
	Down      bool          // every request gets status 503
	Silent    bool          // no request gets a response
	Delay     time.Duration // added to each request
	Spread    time.Duration // up to this much more is added, at random with a fixed seed
	LoseEvery int           // every LoseEvery-th append takes effect, but its connection closes without a response; 0 for none
	LateEvery int           // every LateEvery-th append takes effect after LateBy, without a response; 0 for none
	LateShare float64       // share of appends, from 0 to 1, to which the same happens at random, with a fixed seed
	LateBy    time.Duration
	// RecordBytes is the maximum size of a record with its key, 0 for no limit. Appends with larger ones get status 413.
	RecordBytes int
}

type topic struct {
	records     []record
	firstOffset int64                // offset of the oldest record that can be read; earlier ones were compacted
	changed     chan struct{}        // closed and replaced when records are appended
	producers   map[string]*producer // by name
}

type record struct {
	key   string
	value []byte
}

// size returns the size of the record in bytes: the length of the key, the key and the value.
func (record record) size() int { return 1 + len(record.key) + len(record.value) }

// producer is the state of one writer of a topic that numbers its appends. A higher epoch fences the lower ones.
type producer struct {
	epoch        int64
	nextSequence int64            // sequence number of the next append, -1 if any is accepted
	answers      map[int64][]byte // responses to the latest appends, by sequence number, to repeat to retries
}

const (
	appendDelay       = 2 * time.Millisecond
	maxRequestBytes   = 2 << 20
	maxItems          = 500 // in a page of the newest records
	maxPageBytes      = 1 << 20
	maxKeptAnswers    = 5 // per producer
	maxReadWait       = 30 * time.Second
	lengthPrefixBytes = 4
	randomSeed        = 1
)

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, random: rand.New(rand.NewPCG(randomSeed, randomSeed))}
}

// SetFaults replaces the injected faults.
func (store *Store) SetFaults(faults StoreFaults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
}

// Put appends a record to a topic as other services of the platform do, without faults. A nil value deletes the key.
func (store *Store) Put(name, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topic(name).appendRecords([]record{{key, value}})
}

// Compact discards the history of a topic: no offset before its current end can be read any more. The newest record
// of each key is kept.
func (store *Store) Compact(name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	topic.firstOffset = topic.end()
}

// Newest returns the newest value of a key, or false if the key does not exist.
func (store *Store) Newest(name, key string) ([]byte, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, record := range store.topic(name).newest() {
		if record.key == key {
			return record.value, true
		}
	}
	return nil, false
}

// Writes returns how many records of a key were appended so far.
func (store *Store) Writes(name, key string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	count := 0
	for _, record := range store.topic(name).records {
		if record.key == key {
			count++
		}
	}
	return count
}

func (store *Store) topic(name string) *topic {
	found := store.topics[name]
	if found == nil {
		found = &topic{changed: make(chan struct{}), producers: map[string]*producer{}}
		store.topics[name] = found
	}
	return found
}

func (topic *topic) end() int64 { return int64(len(topic.records)) }

func (topic *topic) appendRecords(records []record) {
	topic.records = append(topic.records, records...)
	close(topic.changed)
	topic.changed = make(chan struct{})
}

// newest returns the newest record of each key in the order of the keys, without deleted keys.
func (topic *topic) newest() []record {
	latest := map[string]record{}
	for _, record := range topic.records {
		if len(record.value) == 0 {
			delete(latest, record.key)
			continue
		}
		latest[record.key] = record
	}
	var found []record
	for _, record := range latest {
		found = append(found, record)
	}
	slices.SortFunc(found, func(a, b record) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	return found
}

// Handler serves the protocol of the platform's log service.
func (store *Store) Handler() http.Handler { return store.HandlerWith(nil) }

// HandlerWith is Handler for a reader that gets each value as rewrite changes it in place, or unchanged if rewrite is nil.
// What the store keeps does not change.
func (store *Store) HandlerWith(rewrite func(value []byte)) http.Handler {
	router := chi.NewRouter()
	router.Post("/-/log-append", store.serveAppend)
	router.Get("/-/log-read", func(w http.ResponseWriter, r *http.Request) { store.serveRead(w, r, rewrite) })
	router.Get("/-/log-newest", func(w http.ResponseWriter, r *http.Request) { store.serveNewest(w, r, rewrite) })
	return router
}

// rewriteRecords returns copies of records with their values rewritten, or the records themselves if rewrite is nil.
func rewriteRecords(records []record, rewrite func(value []byte)) []record {
	if rewrite == nil {
		return records
	}
	rewritten := make([]record, len(records))
	for index, original := range records {
		rewritten[index] = record{original.key, slices.Clone(original.value)}
		rewrite(rewritten[index].value)
	}
	return rewritten
}

// applyFaults applies the faults that affect every request, and reports whether the request is to be served.
func (store *Store) applyFaults(w http.ResponseWriter, r *http.Request) (StoreFaults, bool) {
	store.mu.Lock()
	faults := store.faults
	store.mu.Unlock()
	if faults.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return faults, false
	}
	time.Sleep(faults.Delay + store.randomDelay(faults.Spread))
	return faults, true
}

// randomDelay returns a random duration from 0 to below a bound, 0 for the bound 0.
func (store *Store) randomDelay(bound time.Duration) time.Duration {
	store.mu.Lock()
	defer store.mu.Unlock()
	return time.Duration(store.random.Float64() * float64(bound))
}

func (store *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	faults, proceed := store.applyFaults(w, r)
	if !proceed {
		return
	}
	store.mu.Lock()
	store.appends++
	late := faults.LateEvery > 0 && store.appends%faults.LateEvery == 0 || store.random.Float64() < faults.LateShare
	lost := faults.LoseEvery > 0 && store.appends%faults.LoseEvery == 0
	store.mu.Unlock()
	query := r.URL.Query()
	if late {
		time.AfterFunc(faults.LateBy, func() { store.applyAppend(query.Get, body) })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(appendDelay)
	if faults.RecordBytes > 0 && slices.ContainsFunc(decodeRecords(body), func(record record) bool { return record.size() > faults.RecordBytes }) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	status, answer := store.applyAppend(query.Get, body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// applyAppend carries out an append and returns the status and body of the response. An append with the parameter
// "at" fails with status 412 unless the topic ends at that offset.
func (store *Store) applyAppend(query func(string) string, body []byte) (int, []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(query("topic"))
	if at := query("at"); at != "" && at != strconv.FormatInt(topic.end(), 10) {
		return http.StatusPreconditionFailed, encodeJSON(map[string]int64{"end": topic.end()})
	}
	records := decodeRecords(body)
	if name := query("producer"); name != "" {
		epoch, sequence := parseNumber(query("epoch")), parseNumber(query("seq"))
		return topic.appendAsProducer(name, epoch, sequence, records)
	}
	offset := topic.end()
	topic.appendRecords(records)
	return http.StatusOK, encodeJSON(map[string]int64{"offset": offset, "end": topic.end()})
}

// appendAsProducer carries out the append of a producer. It refuses lower epochs and sequence numbers out of order with
// status 409, repeats the response to a retry, and treats an append without records as a start of the epoch.
func (topic *topic) appendAsProducer(name string, epoch, sequence int64, records []record) (int, []byte) {
	sender := topic.producers[name]
	if sender == nil {
		sender = &producer{epoch: -1}
		topic.producers[name] = sender
	}
	if epoch < sender.epoch {
		return http.StatusConflict, encodeJSON(map[string]any{"reason": "fenced"})
	}
	if epoch > sender.epoch {
		sender.epoch, sender.nextSequence, sender.answers = epoch, -1, map[int64][]byte{}
	}
	if len(records) == 0 {
		return http.StatusOK, encodeJSON(map[string]int64{"offset": topic.end(), "end": topic.end()})
	}
	if answer, repeated := sender.answers[sequence]; repeated {
		return http.StatusOK, answer
	}
	if sender.nextSequence >= 0 && sequence != sender.nextSequence {
		return http.StatusConflict, encodeJSON(map[string]any{"reason": "seq", "seq": sender.nextSequence})
	}
	offset := topic.end()
	topic.appendRecords(records)
	sender.nextSequence = sequence + 1
	sender.answers[sequence] = encodeJSON(map[string]int64{"offset": offset, "end": topic.end()})
	delete(sender.answers, sequence-maxKeptAnswers)
	return http.StatusOK, sender.answers[sequence]
}

// parseNumber parses a decimal number and returns 0 for any other text.
func parseNumber(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

func encodeJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: callers pass only maps, lists and structs of numbers and strings
	}
	return data
}

// decodeRecords decodes the records of an append: each is its length in four bytes (big-endian), the length of its key
// in one byte, the key and the value. Decoding ends before the first truncated record.
func decodeRecords(body []byte) []record {
	var records []record
	for len(body) >= lengthPrefixBytes {
		size := int(binary.BigEndian.Uint32(body))
		body = body[lengthPrefixBytes:]
		if size > len(body) || size == 0 || int(body[0]) >= size {
			return records
		}
		key := string(body[1 : 1+body[0]])
		records = append(records, record{key, slices.Clone(body[1+len(key) : size])})
		body = body[size:]
	}
	return records
}

// serveRead returns the records from an offset on. If there are none, it waits for them up to the parameter waitMs.
// Offsets before the first get status 410.
func (store *Store) serveRead(w http.ResponseWriter, r *http.Request, rewrite func(value []byte)) {
	if _, proceed := store.applyFaults(w, r); !proceed {
		return
	}
	query := r.URL.Query()
	from := parseNumber(query.Get("from"))
	wait := min(time.Duration(parseNumber(query.Get("waitMs")))*time.Millisecond, maxReadWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		store.mu.Lock()
		topic := store.topic(query.Get("topic"))
		first, end, changed := topic.firstOffset, topic.end(), topic.changed
		records := topic.records[min(max(from, 0), end):]
		store.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write(encodeJSON(map[string]int64{"first": first}))
			return
		}
		if len(records) > 0 {
			_, _ = w.Write(encodeRecords(end, first, rewriteRecords(records, rewrite)))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_, _ = w.Write(encodeRecords(end, first, nil))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords encodes the body of a read: the end and the first offset of the topic in eight bytes each (big-endian)
// and the records.
func encodeRecords(end, first int64, records []record) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	return body
}

// serveNewest returns one page of the newest records, ordered by key, after the key in the parameter dependsOn.
func (store *Store) serveNewest(w http.ResponseWriter, r *http.Request, rewrite func(value []byte)) {
	if _, proceed := store.applyFaults(w, r); !proceed {
		return
	}
	type item struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	}
	after := r.URL.Query().Get("dependsOn")
	store.mu.Lock()
	topic := store.topic(r.URL.Query().Get("topic"))
	end := topic.end()
	newest := topic.newest()
	store.mu.Unlock()
	items := []item{}
	more, size := false, 0
	for _, record := range rewriteRecords(newest, rewrite) {
		if record.key <= after && after != "" {
			continue
		}
		if len(items) == maxItems || len(items) > 0 && size+record.size() > maxPageBytes {
			more = true
			break
		}
		size += record.size()
		items = append(items, item{record.key, base64.StdEncoding.EncodeToString(record.value)})
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encodeJSON(map[string]any{"items": items, "hasMore": more, "end": end}))
}
