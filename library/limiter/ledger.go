// Package limiter divides each team's upper limit into slices, one per zone. A zone runs work within its
// slice without calls to the other zones.
//
// The ledger of slices is replayed from the platform's log, and the order of the log decides which zone gets
// what: one zone releases capacity in one record and another zone takes it in a later record. So the slices
// never add up to more than the limit that was in force when they were taken. A decider's record counts only
// once when it is appended twice, so its writer does not need an answer to the append.
package limiter

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("limiter")

// Change is a zone's request to change its slice of one team's limit.
type Change struct {
	Team    string     `json:"team"`
	Release sizer.Size `json:"release,omitzero"`
	Take    sizer.Size `json:"take,omitzero"`
	Want    sizer.Size `json:"want,omitzero"` // demand that remains unmet after Take; replaces the former value
}

// Record is an entry of the log in which a zone's decider changes its slices, or an operator forfeits the
// slices of a zone. Within a term, the records of a decider are numbered from 1. A forfeit holds the term and step of the
// last record of its zone that the operator's host knew; it has no term if there was none, or if it was written
// before forfeits had terms.
type Record struct {
	Zone    string      `json:"zone"`
	Term    fencer.Term `json:"term"`
	Step    int64       `json:"step"`
	Changes []Change    `json:"changes,omitempty"`
	Forfeit string      `json:"forfeit,omitempty"` // zone whose slices are removed by an operator; Zone and Changes are ignored
}

// UnmarshalJSON decodes a record and returns an error if zone, term or step is missing
// and the record forfeits no zone.
func (record *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode slice record: %w", err)
	}
	if decoded.Forfeit == "" && (decoded.Zone == "" || decoded.Term.Zero() || decoded.Step <= 0) {
		return Error.New("slice record without zone, term or step")
	}
	*record = Record(decoded)
	return nil
}

// Slice is one zone's part of a team's limit, and its unmet demand.
type Slice struct {
	Zone string     `json:"zone"`
	Held sizer.Size `json:"held"`
	Want sizer.Size `json:"want,omitzero"` // demand above Held that the zone could not take
}

// Account is the division of one team's limit into slices. A resource of which Limit is 0 is unlimited.
type Account struct {
	Team   string     `json:"team"`
	Offset int64      `json:"number"` // log offset of the last change
	Limit  sizer.Size `json:"limit"`
	Slices []Slice    `json:"slices"`
}

// Tenure holds the term and step of the last record that was applied for a zone.
type Tenure struct {
	Zone string      `json:"zone"`
	Term fencer.Term `json:"term"`
	Step int64       `json:"step"`
}

// after reports whether the last record of the zone is later than the record of a term and step.
func (tenure Tenure) after(term fencer.Term, step int64) bool {
	return term.Less(tenure.Term) || (term == tenure.Term && step < tenure.Step)
}

// State is the content of a ledger: all accounts, or only those that changed after an offset.
type State struct {
	Accounts []Account `json:"accounts,omitempty"`
	Tenures  []Tenure  `json:"tenures,omitempty"`
}

// Ledger holds the accounts of all teams. Its zero value is an empty ledger. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]Account
	tenures  map[string]Tenure
}

// SetLimit replaces a team's limit. Zones keep what they hold until they release it, even when the slices
// add up to more than the new limit.
func (ledger *Ledger) SetLimit(team string, limit sizer.Size, offset int64) {
	account := ledger.Account(team)
	account.Limit = limit
	account.Offset = offset
	ledger.put(account)
}

// Account returns a copy of a team's account, which is empty for an unknown team.
func (ledger *Ledger) Account(team string) Account {
	account, found := ledger.accounts[team]
	if !found {
		return Account{Team: team}
	}
	account.Slices = slices.Clone(account.Slices)
	return account
}

// Tenure returns the term and step of the last record that was applied for a zone.
func (ledger *Ledger) Tenure(zone string) Tenure {
	return ledger.tenures[zone]
}

// Apply replays the record at a log offset and reports whether it was applied. A record that repeats a step
// or has an older term than the last record of its zone is ignored. So is a forfeit of a zone that has written a record
// since: it may be in use again, and an append that is repeated or comes late must not remove what it took.
func (ledger *Ledger) Apply(record Record, offset int64) bool {
	if record.Forfeit != "" {
		if !record.Term.Zero() && ledger.tenures[record.Forfeit].after(record.Term, record.Step) {
			return false
		}
		ledger.removeZone(record.Forfeit, offset)
		return true
	}
	last := ledger.tenures[record.Zone]
	if record.Term.Less(last.Term) || (record.Term == last.Term && record.Step <= last.Step) {
		return false
	}
	if ledger.tenures == nil {
		ledger.tenures = map[string]Tenure{}
	}
	ledger.tenures[record.Zone] = Tenure{Zone: record.Zone, Term: record.Term, Step: record.Step}
	for _, change := range record.Changes {
		account := ledger.Account(change.Team)
		account.applyChange(record.Zone, change)
		account.Offset = offset
		ledger.put(account)
	}
	return true
}

func (ledger *Ledger) removeZone(zone string, offset int64) {
	for _, team := range slices.Sorted(maps.Keys(ledger.accounts)) {
		account := ledger.Account(team)
		account.Slices = slices.DeleteFunc(account.Slices, func(slice Slice) bool { return slice.Zone == zone })
		account.Offset = offset
		ledger.put(account)
	}
}

func (ledger *Ledger) put(account Account) {
	if ledger.accounts == nil {
		ledger.accounts = map[string]Account{}
	}
	ledger.accounts[account.Team] = account
}

// Since returns the accounts that changed after a log offset, and all tenures.
func (ledger *Ledger) Since(offset int64) State {
	var state State
	for _, team := range slices.Sorted(maps.Keys(ledger.accounts)) {
		if account := ledger.Account(team); account.Offset > offset {
			state.Accounts = append(state.Accounts, account)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(ledger.tenures)) {
		state.Tenures = append(state.Tenures, ledger.tenures[zone])
	}
	return state
}

// Merge replaces the accounts that are newer in state, and all tenures that state holds. The caller has to
// ensure that state was taken at a higher log offset than that of the ledger.
func (ledger *Ledger) Merge(state State) {
	for _, account := range state.Accounts {
		if account.Offset > ledger.accounts[account.Team].Offset {
			ledger.put(account)
		}
	}
	for _, tenure := range state.Tenures {
		if ledger.tenures == nil {
			ledger.tenures = map[string]Tenure{}
		}
		ledger.tenures[tenure.Zone] = tenure
	}
}

// Held returns the size of a zone's slice.
func (account Account) Held(zone string) sizer.Size {
	for _, slice := range account.Slices {
		if slice.Zone == zone {
			return slice.Held
		}
	}
	return sizer.Size{}
}

// Unallocated returns the part of the limit that no zone holds. A member is negative after the limit was
// lowered, until zones have released the excess. Unlimited resources are 0.
func (account Account) Unallocated() sizer.Size {
	unallocated := account.Limit
	for _, slice := range account.Slices {
		unallocated = unallocated.Sub(slice.Held)
	}
	return clearUnlimited(unallocated, account.Limit)
}

// WantedByOthers returns the unmet demand of all zones but the named one. Unlimited resources are 0.
func (account Account) WantedByOthers(zone string) sizer.Size {
	var wanted sizer.Size
	for _, slice := range account.Slices {
		if slice.Zone != zone {
			wanted = wanted.Add(slice.Want)
		}
	}
	return clearUnlimited(wanted, account.Limit)
}

// applyChange applies a zone's release, then its take as far as unallocated capacity permits.
func (account *Account) applyChange(zone string, change Change) {
	index := slices.IndexFunc(account.Slices, func(slice Slice) bool { return slice.Zone == zone })
	if index < 0 {
		index = len(account.Slices)
		account.Slices = append(account.Slices, Slice{Zone: zone})
	}
	slice := &account.Slices[index]
	slice.Held = slice.Held.Sub(change.Release.Min(slice.Held))
	taken := change.Take.Min(account.Unallocated().Max(sizer.Size{}))
	slice.Held = slice.Held.Add(taken)
	slice.Want = change.Want
}

// clearUnlimited returns size with the resources that limit leaves unlimited (those that are 0) set to 0.
func clearUnlimited(size, limit sizer.Size) sizer.Size {
	if limit.MilliCores == 0 {
		size.MilliCores = 0
	}
	if limit.MemoryMB == 0 {
		size.MemoryMB = 0
	}
	if limit.Accelerators == 0 {
		size.Accelerators = 0
	}
	return size
}
