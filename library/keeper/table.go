// Package keeper stores replicas of records that have to survive the failure of the host that accepted them.
//
// Each record has a home zone, and only that zone's decider writes it. Writes are ordered by the decider's
// term, then by a version, so replicas may arrive late, twice or out of order.
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

// Record is one replicated value.
type Record struct {
	ID      string          `json:"id"`
	Home    string          `json:"home"` // zone whose decider writes the record
	Kind    string          `json:"kind"` // what Data holds, such as "job" or "key"
	Term    fencer.Term     `json:"term"`
	Version int64           `json:"version"`
	Expires time.Time       `json:"expires,omitzero"` // zero: does not expire
	Data    json.RawMessage `json:"data"`
}

// UnmarshalJSON decodes a record and returns an error if ID, home, term or version is missing.
func (record *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode replicated record: %w", err)
	}
	if decoded.ID == "" || decoded.Home == "" || decoded.Term.Zero() || decoded.Version <= 0 {
		return Error.New("replicated record without id, home, term or version")
	}
	*record = Record(decoded)
	return nil
}

// supersedes reports whether record was written after other.
func (record Record) supersedes(other Record) bool {
	if record.Term != other.Term {
		return other.Term.Less(record.Term)
	}
	return record.Version > other.Version
}

// Table holds records by ID. Its zero value is an empty table. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[string]Record
	bytes   int64 // sum of the lengths of Data
}

// Put stores a record unless the table holds one of the same ID that is as new or newer.
func (table *Table) Put(record Record) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.records == nil {
		table.records = map[string]Record{}
	}
	previous, found := table.records[record.ID]
	if found && !record.supersedes(previous) {
		return
	}
	table.bytes += int64(len(record.Data)) - int64(len(previous.Data))
	table.records[record.ID] = record
}

// Get returns the record of an ID, and false if there is none.
func (table *Table) Get(id string) (Record, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	record, found := table.records[id]
	return record, found
}

// ByHome returns the records of a home zone, sorted by ID.
func (table *Table) ByHome(zone string) []Record {
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

// Expire removes the records that expired before now.
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

// Size returns the number of records and the total length of their data in bytes.
func (table *Table) Size() (records int, bytes int64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	return len(table.records), table.bytes
}
