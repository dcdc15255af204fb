// Package replayer derives the configuration in force from a prefix of the platform's log.
//
// The state is a deterministic function of the records up to an offset. So two hosts at the same offset hold the
// same state, and a host, whose offset never decreases, never goes back to an older configuration.
package replayer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"ebonyshunt.org/library/limiter"
	"ebonyshunt.org/library/sizer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replayer")

// Format is the version of the records that this package writes and reads.
const Format = 1

// Record is an entry of the log: a change of one section, a change of the slices of limits, or a checkpoint.
type Record struct {
	Format  int    `json:"format"`
	ID      string `json:"id"` // assigned by the publisher, and the same each time the record is sent again
	Section string `json:"section"`
	Base    int64  `json:"base"` // offset of the version that it replaces, 0 for a new section
	Author  string `json:"author"`
	Text    string `json:"text"`
	Removed bool   `json:"removed,omitempty"`

	Limit *sizer.Size     `json:"limit,omitempty"` // parsed limit of the team that the section configures
	Slice *limiter.Record `json:"slice,omitempty"` // change of the slices of limits; the record then changes no section

	// AsOf and State make the record a checkpoint: the whole state up to offset AsOf.
	AsOf   int64          `json:"asOf,omitempty"`
	State  []Version      `json:"state,omitempty"`
	Ledger *limiter.State `json:"ledger,omitempty"`
}

// UnmarshalJSON decodes a record and returns an error if it has another format, no ID or no content.
func (record *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	if decoded.Format != Format {
		return Error.New("unsupported record format %d: this program reads format %d", decoded.Format, Format)
	}
	if decoded.ID == "" || (decoded.Section == "" && !(*Record)(&decoded).IsCheckpoint() && decoded.Slice == nil) {
		return Error.New("record without id or content")
	}
	*record = Record(decoded)
	return nil
}

// IsCheckpoint reports whether the record holds the whole state, which may have no sections.
func (record *Record) IsCheckpoint() bool { return record.State != nil || record.AsOf > 0 }

// Version is the value of one section. Offset is the log offset of the record that set it and identifies the version.
type Version struct {
	Section string `json:"section"`
	Offset  int64  `json:"number"`
	ID      string `json:"id"`
	Author  string `json:"author"`
	Text    string `json:"text"`
	Removed bool   `json:"removed,omitempty"`
}

// State is the configuration after the record at offset AsOf: all sections, or only those that changed after some
// offset. Log offsets are counted from 1.
type State struct {
	AsOf     int64         `json:"asOf"`
	Sections []Version     `json:"sections"`
	Ledger   limiter.State `json:"ledger"`
}

// Register holds the replayed state. Its zero value is an empty register. It is safe for concurrent use.
type Register struct {
	mu       sync.Mutex
	asOf     int64
	sections map[string]Version
	ledger   limiter.Ledger
}

// AsOf returns the offset of the last record that is part of the state.
func (register *Register) AsOf() int64 {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.asOf
}

// Get returns the version in force of a section, and false if there never was one. For a removed section it returns
// a version with Removed set.
func (register *Register) Get(section string) (Version, bool) {
	register.mu.Lock()
	defer register.mu.Unlock()
	version, found := register.sections[section]
	return version, found
}

// Since returns the state with only the sections and accounts that changed after an offset.
func (register *Register) Since(offset int64) State {
	register.mu.Lock()
	defer register.mu.Unlock()
	state := State{AsOf: register.asOf, Ledger: register.ledger.Since(offset)}
	for _, name := range slices.Sorted(maps.Keys(register.sections)) {
		if version := register.sections[name]; version.Offset > offset {
			state.Sections = append(state.Sections, version)
		}
	}
	return state
}

// Apply replays the record at a log offset and reports whether it took effect. A record at an offset that was replayed
// already has no effect, nor has one whose Base is not the version in force of its section.
// If records before offset are missing, Apply returns an error and changes nothing, unless the record is a checkpoint
// of a newer state.
func (register *Register) Apply(offset int64, record Record) (bool, error) {
	register.mu.Lock()
	defer register.mu.Unlock()
	if offset <= register.asOf {
		return false, nil
	}
	if record.IsCheckpoint() {
		return register.applyCheckpoint(offset, record)
	}
	if offset != register.asOf+1 {
		return false, Error.New("gap in the log: records %d to %d are missing", register.asOf+1, offset-1)
	}
	register.asOf = offset
	if record.Slice != nil {
		return register.ledger.Apply(*record.Slice, offset), nil
	}
	if record.Base != register.sections[record.Section].Offset {
		return false, nil
	}
	register.set(Version{
		Section: record.Section,
		Offset:  offset,
		ID:      record.ID,
		Author:  record.Author,
		Text:    record.Text,
		Removed: record.Removed,
	})
	register.setLimit(offset, record)
	return true, nil
}

// setLimit sets the limit of a team in the ledger, if the record is about a team. The limit is in the record, as parsed
// by the publisher, so that programs of different versions do not parse it differently.
func (register *Register) setLimit(offset int64, record Record) {
	team, isTeam := strings.CutPrefix(record.Section, "team ")
	if !isTeam {
		return
	}
	limit := sizer.Size{}
	if record.Limit != nil {
		limit = *record.Limit
	}
	register.ledger.SetLimit(team, limit, offset)
}

// Account returns the division of a team's limit into slices.
func (register *Register) Account(team string) limiter.Account {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.ledger.Account(team)
}

// Tenure returns the term and step of the last slice record that was applied for a zone.
func (register *Register) Tenure(zone string) limiter.Tenure {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.ledger.Tenure(zone)
}

// applyCheckpoint only advances the offset if no record before the checkpoint is missing. Otherwise it takes over the
// state and offset of the checkpoint if they are newer, and returns an error if not.
func (register *Register) applyCheckpoint(offset int64, record Record) (bool, error) {
	if offset == register.asOf+1 {
		register.asOf = offset
		return false, nil
	}
	if record.AsOf <= register.asOf {
		return false, Error.New("gap in the log: records %d to %d are missing", register.asOf+1, offset-1)
	}
	state := State{AsOf: record.AsOf, Sections: record.State}
	if record.Ledger != nil {
		state.Ledger = *record.Ledger
	}
	register.merge(state)
	return true, nil
}

// Skip advances the offset past a record that cannot be decoded. It returns an error if records before offset are missing.
func (register *Register) Skip(offset int64) error {
	register.mu.Lock()
	defer register.mu.Unlock()
	if offset <= register.asOf {
		return nil
	}
	if offset != register.asOf+1 {
		return Error.New("gap in the log: records %d to %d are missing", register.asOf+1, offset-1)
	}
	register.asOf = offset
	return nil
}

// Merge takes over the state of a peer or checkpoint if its offset is higher, and reports whether it did.
// The state has to hold all sections that changed after the register's own offset.
func (register *Register) Merge(state State) bool {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.merge(state)
}

func (register *Register) merge(state State) bool {
	if state.AsOf <= register.asOf {
		return false
	}
	for _, version := range state.Sections {
		if version.Offset > register.sections[version.Section].Offset {
			register.set(version)
		}
	}
	register.ledger.Merge(state.Ledger)
	register.asOf = state.AsOf
	return true
}

func (register *Register) set(version Version) {
	if register.sections == nil {
		register.sections = map[string]Version{}
	}
	register.sections[version.Section] = version
}

// Checkpoint returns a record that holds the whole state, for readers that start after older records were removed from
// the log.
func (register *Register) Checkpoint(id, author string) Record {
	state := register.Since(0)
	return Record{Format: Format, ID: id, Author: author, AsOf: state.AsOf, State: state.Sections, Ledger: &state.Ledger}
}
