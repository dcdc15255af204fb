// Package emulator plays the users' platform: its store, its workers and its policy service, each with
// faults that a test switches on. It speaks their published protocol and keeps everything in memory.
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

// Store is the platform's log service.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults StoreFaults
	count  int // appends that were asked for
	draws  *rand.Rand
}

// StoreFaults are the ways in which the store misbehaves; the zero value is healthy.
type StoreFaults struct {
	Down      bool          // answers 503
	Silent    bool          // answers nothing
	Delay     time.Duration // before each answer
	LoseEvery int           // one append in so many takes effect without an answer
	LateEvery int           // one append in so many has no answer and takes effect after LateBy
	LateShare float64       // so many of all appends do so besides, drawn from a fixed seed
	LateBy    time.Duration
}

type topic struct {
	records []record
	first   int64 // offset of the first record that is kept
	changed chan struct{}
	writers map[string]*writer
}

type record struct {
	key   string
	value []byte
}

type writer struct {
	epoch   int64
	next    int64 // sequence number that is expected, -1 while any is taken
	answers map[int64][]byte
}

const (
	appendTime   = 2 * time.Millisecond
	mostRequest  = 2 << 20
	mostItems    = 500
	keptAnswers  = 5
	longestWait  = 30 * time.Second
	lengthPrefix = 4
	drawSeed     = 1
)

// NewStore returns an empty, healthy store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, draws: rand.New(rand.NewPCG(drawSeed, drawSeed))}
}

// SetFaults replaces the faults.
func (store *Store) SetFaults(faults StoreFaults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
}

// Put writes a record as the platform's own parties do; a nil value forgets the key.
func (store *Store) Put(name, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.topic(name).add([]record{{key, value}})
}

// Forget drops the history of a topic; the newest record of each key stays.
func (store *Store) Forget(name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	topic.first = topic.end()
}

// Newest returns the newest value of a key.
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

func (store *Store) topic(name string) *topic {
	found := store.topics[name]
	if found == nil {
		found = &topic{changed: make(chan struct{}), writers: map[string]*writer{}}
		store.topics[name] = found
	}
	return found
}

func (topic *topic) end() int64 { return int64(len(topic.records)) }

func (topic *topic) add(records []record) {
	topic.records = append(topic.records, records...)
	close(topic.changed)
	topic.changed = make(chan struct{})
}

// newest returns the newest record of each key in order of the keys.
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

// Handler serves the protocol.
func (store *Store) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/-/log-append", store.append)
	router.Get("/-/log-read", store.read)
	router.Get("/-/log-newest", store.page)
	return router
}

// gate applies the faults that concern every call, and reports whether the call goes on.
func (store *Store) gate(w http.ResponseWriter, r *http.Request) (StoreFaults, bool) {
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
	time.Sleep(faults.Delay)
	return faults, true
}

func (store *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostRequest))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	faults, open := store.gate(w, r)
	if !open {
		return
	}
	store.mu.Lock()
	store.count++
	late := faults.LateEvery > 0 && store.count%faults.LateEvery == 0 || store.draws.Float64() < faults.LateShare
	lost := faults.LoseEvery > 0 && store.count%faults.LoseEvery == 0
	store.mu.Unlock()
	query := r.URL.Query()
	if late {
		time.AfterFunc(faults.LateBy, func() { store.take(query.Get, body) })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(appendTime)
	status, answer := store.take(query.Get, body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// take carries one append out.
func (store *Store) take(query func(string) string, body []byte) (int, []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(query("topic"))
	if at := query("at"); at != "" && at != strconv.FormatInt(topic.end(), 10) {
		return http.StatusPreconditionFailed, encode(map[string]int64{"end": topic.end()})
	}
	records := split(body)
	if name := query("producer"); name != "" {
		epoch, sequence := number(query("epoch")), number(query("seq"))
		return topic.takeFrom(name, epoch, sequence, records)
	}
	offset := topic.end()
	topic.add(records)
	return http.StatusOK, encode(map[string]int64{"offset": offset, "end": topic.end()})
}

// takeFrom carries out the append of a writer with epoch and sequence number.
func (topic *topic) takeFrom(name string, epoch, sequence int64, records []record) (int, []byte) {
	from := topic.writers[name]
	if from == nil {
		from = &writer{epoch: -1}
		topic.writers[name] = from
	}
	if epoch < from.epoch {
		return http.StatusConflict, encode(map[string]any{"reason": "fenced"})
	}
	if epoch > from.epoch {
		from.epoch, from.next, from.answers = epoch, -1, map[int64][]byte{}
	}
	if len(records) == 0 {
		return http.StatusOK, encode(map[string]int64{"offset": topic.end(), "end": topic.end()})
	}
	if answer, repeated := from.answers[sequence]; repeated {
		return http.StatusOK, answer
	}
	if from.next >= 0 && sequence != from.next {
		return http.StatusConflict, encode(map[string]any{"reason": "seq", "seq": from.next})
	}
	offset := topic.end()
	topic.add(records)
	from.next = sequence + 1
	from.answers[sequence] = encode(map[string]int64{"offset": offset, "end": topic.end()})
	delete(from.answers, sequence-keptAnswers)
	return http.StatusOK, from.answers[sequence]
}

func number(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of numbers and words always encode
	}
	return data
}

// split reads the records of an append; what is cut short is left out.
func split(body []byte) []record {
	var records []record
	for len(body) >= lengthPrefix {
		size := int(binary.BigEndian.Uint32(body))
		body = body[lengthPrefix:]
		if size > len(body) || size == 0 || int(body[0]) >= size {
			return records
		}
		key := string(body[1 : 1+body[0]])
		records = append(records, record{key, slices.Clone(body[1+len(key) : size])})
		body = body[size:]
	}
	return records
}

func (store *Store) read(w http.ResponseWriter, r *http.Request) {
	if _, open := store.gate(w, r); !open {
		return
	}
	query := r.URL.Query()
	from := number(query.Get("from"))
	wait := min(time.Duration(number(query.Get("waitMs")))*time.Millisecond, longestWait)
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		store.mu.Lock()
		topic := store.topic(query.Get("topic"))
		first, end, changed := topic.first, topic.end(), topic.changed
		records := topic.records[min(max(from, 0), end):]
		store.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write(encode(map[string]int64{"first": first}))
			return
		}
		if len(records) > 0 {
			_, _ = w.Write(join(end, first, records))
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			_, _ = w.Write(join(end, first, nil))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func join(end, first int64, records []record) []byte {
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

func (store *Store) page(w http.ResponseWriter, r *http.Request) {
	if _, open := store.gate(w, r); !open {
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
	more := false
	for _, record := range newest {
		if record.key <= after && after != "" {
			continue
		}
		if len(items) == mostItems {
			more = true
			break
		}
		items = append(items, item{record.key, base64.StdEncoding.EncodeToString(record.value)})
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encode(map[string]any{"items": items, "hasMore": more, "end": end}))
}
