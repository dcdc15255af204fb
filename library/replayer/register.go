// Package replayer derives the configuration in force from a prefix of the platform's log.
//
// The state is a deterministic function of the records up to an offset, so two hosts at the same
// offset hold the same state, and a host that only ever moves to a higher offset never reverts.
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

// Record is one change of one section as it stands in the log.
type Record struct {
	Format  int    `json:"format"`
	ID      string `json:"id"` // made by the publisher, the same on each resend
	Section string `json:"section"`
	Base    int64  `json:"base"` // version that it replaces, 0 for a new section
	Author  string `json:"author"`
	Text    string `json:"text"`
	Removed bool   `json:"removed,omitempty"`

	Limit *sizer.Size     `json:"limit,omitempty"` // of the team that the section is about
	Slice *limiter.Record `json:"slice,omitempty"` // in place of a section

	// AsOf and State make the record a checkpoint: the whole state up to offset AsOf.
	AsOf   int64          `json:"asOf,omitempty"`
	State  []Version      `json:"state,omitempty"`
	Ledger *limiter.State `json:"ledger,omitempty"`
}

// UnmarshalJSON decodes a record and refuses one of another format or without ID.
func (record *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	if decoded.Format != Format {
		return Error.New("record format %d, this program reads %d", decoded.Format, Format)
	}
	if decoded.ID == "" || (decoded.Section == "" && decoded.State == nil && decoded.Slice == nil) {
		return Error.New("record without id or content")
	}
	*record = Record(decoded)
	return nil
}

// Version is the value of one section; Number is the log offset that set it.
type Version struct {
	Section string `json:"section"`
	Number  int64  `json:"number"`
	ID      string `json:"id"`
	Author  string `json:"author"`
	Text    string `json:"text"`
	Removed bool   `json:"removed,omitempty"`
}

// State is all sections up to and with offset AsOf; offsets count from 1.
type State struct {
	AsOf     int64         `json:"asOf"`
	Sections []Version     `json:"sections"`
	Ledger   limiter.State `json:"ledger"`
}

// Register holds the state; its zero value is empty and ready.
type Register struct {
	mu       sync.Mutex
	asOf     int64
	sections map[string]Version
	ledger   limiter.Ledger
}

// AsOf returns the offset up to which the register has replayed.
func (register *Register) AsOf() int64 {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.asOf
}

// Get returns a section; a removed one is returned with Removed set.
func (register *Register) Get(section string) (Version, bool) {
	register.mu.Lock()
	defer register.mu.Unlock()
	version, found := register.sections[section]
	return version, found
}

// Since returns the state with only the sections that changed after an offset.
func (register *Register) Since(offset int64) State {
	register.mu.Lock()
	defer register.mu.Unlock()
	state := State{AsOf: register.asOf, Ledger: register.ledger.Since(offset)}
	for _, name := range slices.Sorted(maps.Keys(register.sections)) {
		if version := register.sections[name]; version.Number > offset {
			state.Sections = append(state.Sections, version)
		}
	}
	return state
}

// Apply replays the record at the next offset and reports whether it took effect.
// It returns an error, and changes nothing, when records are missing in between.
func (register *Register) Apply(offset int64, record Record) (bool, error) {
	register.mu.Lock()
	defer register.mu.Unlock()
	if offset <= register.asOf {
		return false, nil
	}
	if record.State != nil {
		return register.applyCheckpoint(offset, record)
	}
	if offset != register.asOf+1 {
		return false, Error.New("records %d to %d are missing", register.asOf+1, offset-1)
	}
	register.asOf = offset
	if record.Slice != nil {
		return register.ledger.Apply(*record.Slice, offset), nil
	}
	if record.Base != register.sections[record.Section].Number {
		return false, nil
	}
	register.set(Version{
		Section: record.Section,
		Number:  offset,
		ID:      record.ID,
		Author:  record.Author,
		Text:    record.Text,
		Removed: record.Removed,
	})
	register.setLimit(offset, record)
	return true, nil
}

// setLimit replays the limit of a team; the publisher parsed it, so that programs of all versions agree.
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

// Account returns the division of a team's limit.
func (register *Register) Account(team string) limiter.Account {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.ledger.Account(team)
}

// Tenure returns the last slice record of a zone's decider.
func (register *Register) Tenure(zone string) limiter.Tenure {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.ledger.Tenure(zone)
}

// applyCheckpoint steps over a checkpoint, or learns from it when records are missing.
func (register *Register) applyCheckpoint(offset int64, record Record) (bool, error) {
	if offset == register.asOf+1 {
		register.asOf = offset
		return false, nil
	}
	if record.AsOf <= register.asOf {
		return false, Error.New("records %d to %d are missing", register.asOf+1, offset-1)
	}
	state := State{AsOf: record.AsOf, Sections: record.State}
	if record.Ledger != nil {
		state.Ledger = *record.Ledger
	}
	register.merge(state)
	return true, nil
}

// Skip passes over a record that does not decode.
func (register *Register) Skip(offset int64) error {
	register.mu.Lock()
	defer register.mu.Unlock()
	if offset <= register.asOf {
		return nil
	}
	if offset != register.asOf+1 {
		return Error.New("records %d to %d are missing", register.asOf+1, offset-1)
	}
	register.asOf = offset
	return nil
}

// Merge moves to a state of a peer or checkpoint that reaches further, and reports whether it did.
// The state has to hold every section that changed after the register's own offset.
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
		if version.Number > register.sections[version.Section].Number {
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

// Checkpoint returns a record that holds the whole state, for readers that start after older
// records were dropped.
func (register *Register) Checkpoint(id, author string) Record {
	state := register.Since(0)
	return Record{Format: Format, ID: id, Author: author, AsOf: state.AsOf, State: state.Sections, Ledger: &state.Ledger}
}
