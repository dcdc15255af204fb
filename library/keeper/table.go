// Package keeper holds copies of records that have to survive the host that accepted them.
//
// Each record has a home zone whose decider alone writes it; writes are ordered by the decider's term
// and a version, so copies may arrive late, twice or out of order.
package keeper

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"ebonyshunt.org/library/fencer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("keeper")

// Record is one kept value.
type Record struct {
	ID      string          `json:"id"`
	Home    string          `json:"home"` // zone
	Kind    string          `json:"kind"`
	Term    fencer.Term     `json:"term"`
	Version int64           `json:"version"`
	Expires time.Time       `json:"expires,omitzero"` // zero: never
	Data    json.RawMessage `json:"data"`
}

// UnmarshalJSON decodes a record and refuses one without ID, home, term or version.
func (record *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode kept record: %w", err)
	}
	if decoded.ID == "" || decoded.Home == "" || decoded.Term.Zero() || decoded.Version <= 0 {
		return Error.New("kept record without id, home, term or version")
	}
	*record = Record(decoded)
	return nil
}

func (record Record) newer(other Record) bool {
	if record.Term != other.Term {
		return other.Term.Less(record.Term)
	}
	return record.Version > other.Version
}

// Table holds records by ID; its zero value is empty and ready.
type Table struct {
	mu      sync.Mutex
	records map[string]Record
	bytes   int64
}

// Put keeps a record unless a newer one of the same ID is kept.
func (table *Table) Put(record Record) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.records == nil {
		table.records = map[string]Record{}
	}
	known, found := table.records[record.ID]
	if found && !record.newer(known) {
		return
	}
	table.bytes += int64(len(record.Data)) - int64(len(known.Data))
	table.records[record.ID] = record
}

// Get returns a record.
func (table *Table) Get(id string) (Record, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	record, found := table.records[id]
	return record, found
}

// Home returns the records of a home zone by ID.
func (table *Table) Home(zone string) []Record {
	table.mu.Lock()
	defer table.mu.Unlock()
	var found []Record
	for _, id := range slices.Sorted(maps.Keys(table.records)) {
		if record := table.records[id]; record.Home == zone {
			found = append(found, record)
		}
	}
	return found
}

// Expire drops the records that are past their time.
func (table *Table) Expire(now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for id, record := range table.records {
		if !record.Expires.IsZero() && record.Expires.Before(now) {
			table.bytes -= int64(len(record.Data))
			delete(table.records, id)
		}
	}
}

// Size returns how many records are kept and the bytes of their data.
func (table *Table) Size() (records int, bytes int64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	return len(table.records), table.bytes
}
