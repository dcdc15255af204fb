// Package limiter divides upper limits across the fleet into slices that zones spend alone.
//
// The ledger is replayed from the platform's log, whose order decides who gets what: a zone releases by
// one record and another takes by a later one, so the slices never add up to more than the limit that
// was in force when they were taken. Records may be appended twice, and need no answer.
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

// Change is what a zone asks of one team's limit.
type Change struct {
	Team    string     `json:"team"`
	Release sizer.Size `json:"release,omitzero"`
	Take    sizer.Size `json:"take,omitzero"`
	Want    sizer.Size `json:"want,omitzero"` // what the zone lacks beyond the pool
}

// Record is one step of a zone's decider; steps of a term count from 1.
type Record struct {
	Zone    string      `json:"zone"`
	Term    fencer.Term `json:"term"`
	Step    int64       `json:"step"`
	Changes []Change    `json:"changes,omitempty"`
	Forfeit string      `json:"forfeit,omitempty"` // zone whose slices the operators give up
}

// UnmarshalJSON decodes a record and refuses one without zone or term.
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

// Slice is what one zone holds and lacks of a team's limit.
type Slice struct {
	Zone string     `json:"zone"`
	Held sizer.Size `json:"held"`
	Want sizer.Size `json:"want,omitzero"`
}

// Account is the division of one team's limit; members of Limit that are 0 are unlimited.
type Account struct {
	Team   string     `json:"team"`
	Number int64      `json:"number"` // offset of the last change
	Limit  sizer.Size `json:"limit"`
	Slices []Slice    `json:"slices"`
}

// Tenure is the last step of a zone's decider.
type Tenure struct {
	Zone string      `json:"zone"`
	Term fencer.Term `json:"term"`
	Step int64       `json:"step"`
}

// State is a ledger, whole or with only the accounts that changed.
type State struct {
	Accounts []Account `json:"accounts,omitempty"`
	Tenures  []Tenure  `json:"tenures,omitempty"`
}

// Ledger holds the accounts; its zero value is empty and ready. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]Account
	tenures  map[string]Tenure
}

// SetLimit replaces a team's limit; what zones hold stays until they release it.
func (ledger *Ledger) SetLimit(team string, limit sizer.Size, offset int64) {
	account := ledger.Account(team)
	account.Limit = limit
	account.Number = offset
	ledger.put(account)
}

// Account returns a team's account; it shares no memory with the ledger.
func (ledger *Ledger) Account(team string) Account {
	account, found := ledger.accounts[team]
	if !found {
		return Account{Team: team}
	}
	account.Slices = slices.Clone(account.Slices)
	return account
}

// Tenure returns the last step of a zone's decider.
func (ledger *Ledger) Tenure(zone string) Tenure {
	return ledger.tenures[zone]
}

// Apply replays a record; one that repeats a step or comes under an older term changes nothing.
func (ledger *Ledger) Apply(record Record, offset int64) bool {
	if record.Forfeit != "" {
		ledger.forfeit(record.Forfeit, offset)
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
		account.change(record.Zone, change)
		account.Number = offset
		ledger.put(account)
	}
	return true
}

func (ledger *Ledger) forfeit(zone string, offset int64) {
	for _, team := range slices.Sorted(maps.Keys(ledger.accounts)) {
		account := ledger.Account(team)
		account.Slices = slices.DeleteFunc(account.Slices, func(slice Slice) bool { return slice.Zone == zone })
		account.Number = offset
		ledger.put(account)
	}
}

func (ledger *Ledger) put(account Account) {
	if ledger.accounts == nil {
		ledger.accounts = map[string]Account{}
	}
	ledger.accounts[account.Team] = account
}

// Since returns the accounts that changed after an offset, and all tenures.
func (ledger *Ledger) Since(offset int64) State {
	var state State
	for _, team := range slices.Sorted(maps.Keys(ledger.accounts)) {
		if account := ledger.Account(team); account.Number > offset {
			state.Accounts = append(state.Accounts, account)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(ledger.tenures)) {
		state.Tenures = append(state.Tenures, ledger.tenures[zone])
	}
	return state
}

// Merge takes over the accounts and tenures of a state that reaches further.
func (ledger *Ledger) Merge(state State) {
	for _, account := range state.Accounts {
		if account.Number > ledger.accounts[account.Team].Number {
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

// Held returns what a zone may spend.
func (account Account) Held(zone string) sizer.Size {
	for _, slice := range account.Slices {
		if slice.Zone == zone {
			return slice.Held
		}
	}
	return sizer.Size{}
}

// Pool returns what no zone holds; members are negative while a lowered limit is not yet released.
func (account Account) Pool() sizer.Size {
	pool := account.Limit
	for _, slice := range account.Slices {
		pool = pool.Sub(slice.Held)
	}
	return mask(pool, account.Limit)
}

// Wanted returns what zones other than the named one lack.
func (account Account) Wanted(zone string) sizer.Size {
	var wanted sizer.Size
	for _, slice := range account.Slices {
		if slice.Zone != zone {
			wanted = wanted.Add(slice.Want)
		}
	}
	return mask(wanted, account.Limit)
}

// change applies a release, then as much of the take as the pool has.
func (account *Account) change(zone string, change Change) {
	at := slices.IndexFunc(account.Slices, func(slice Slice) bool { return slice.Zone == zone })
	if at < 0 {
		at = len(account.Slices)
		account.Slices = append(account.Slices, Slice{Zone: zone})
	}
	slice := &account.Slices[at]
	slice.Held = slice.Held.Sub(change.Release.Min(slice.Held))
	taken := change.Take.Min(account.Pool().Max(sizer.Size{}))
	slice.Held = slice.Held.Add(taken)
	slice.Want = change.Want
}

// mask clears the members that limit leaves unlimited.
func mask(size, limit sizer.Size) sizer.Size {
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
