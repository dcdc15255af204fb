// Package drainer keeps which availability zones are drained at the request of operators.
//
// Requests are records of a log. The state is a function of the records up to an offset, and a state never replaces one
// of a higher offset. So a host never goes back to an earlier state, whichever reads or peers it learns from.
package drainer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("drainer")

// State is which availability zones are drained, as of an offset of the log.
type State struct {
	AsOf  int64    `json:"asOf"`            // offset after the last record that it includes
	Zones []string `json:"zones,omitempty"` // sorted
}

// UnmarshalJSON decodes a state. It returns an error for a negative offset, for drained zones as of offset 0, and for a zone
// without a name.
func (state *State) UnmarshalJSON(data []byte) error {
	type plain State
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode drained zones: %w", err)
	}
	if decoded.AsOf < 0 || decoded.AsOf == 0 && len(decoded.Zones) > 0 || slices.Contains(decoded.Zones, "") {
		return Error.New("drained zones %q as of offset %d are not those of a log", decoded.Zones, decoded.AsOf)
	}
	*state = State(decoded)
	return nil
}

// Request is a record that drains a zone or withdraws the request for it.
type Request struct {
	Zone      string
	Withdrawn bool
}

// Read is what a read of the log returned.
type Read struct {
	Requests []Request // in the order of the log
	End      int64     // offset after the last record
	Reset    bool      // whether these are all requests in force, rather than those since the last read
}

// Change is a zone that became drained, or no longer is.
type Change struct {
	Zone    string
	Drained bool
}

// Register holds the latest known state. Its zero value knows no request. It is safe for concurrent use.
type Register struct {
	mu    sync.Mutex
	asOf  int64
	zones map[string]bool
	used  bool // whether any zone was ever drained, as far as this host or a peer knows
}

// ApplyRead brings the register up to date with a read of the log, and returns the zones that changed, sorted. A read that
// ends before the known state is ignored.
func (register *Register) ApplyRead(read Read) []Change {
	register.mu.Lock()
	defer register.mu.Unlock()
	if read.End < register.asOf {
		return nil
	}
	zones := map[string]bool{}
	if !read.Reset {
		zones = maps.Clone(register.zones)
	}
	if zones == nil {
		zones = map[string]bool{}
	}
	for _, request := range read.Requests {
		if request.Withdrawn {
			delete(zones, request.Zone)
		} else {
			zones[request.Zone] = true
		}
	}
	return register.replace(zones, read.End)
}

// ApplyState adopts the state of a peer if it is later than the known one, and returns the zones that changed, sorted.
func (register *Register) ApplyState(state State) []Change {
	register.mu.Lock()
	defer register.mu.Unlock()
	register.used = true // a peer with an earlier state has to be told of this one
	if state.AsOf <= register.asOf {
		return nil
	}
	zones := make(map[string]bool, len(state.Zones))
	for _, zone := range state.Zones {
		zones[zone] = true
	}
	return register.replace(zones, state.AsOf)
}

// replace sets the state and returns the zones that differ from the former one.
func (register *Register) replace(zones map[string]bool, asOf int64) []Change {
	var changes []Change
	for zone := range zones {
		if !register.zones[zone] {
			changes = append(changes, Change{Zone: zone, Drained: true})
		}
	}
	for zone := range register.zones {
		if !zones[zone] {
			changes = append(changes, Change{Zone: zone})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Zone, b.Zone) })
	register.zones, register.asOf = zones, asOf
	register.used = register.used || len(zones) > 0
	return changes
}

// State returns the state, and whether any zone was ever drained as far as this host or a peer knows: otherwise peers need not
// be told.
func (register *Register) State() (State, bool) {
	register.mu.Lock()
	defer register.mu.Unlock()
	return State{AsOf: register.asOf, Zones: slices.Sorted(maps.Keys(register.zones))}, register.used
}

// Zones returns the drained zones. The map must not be changed.
func (register *Register) Zones() map[string]bool {
	register.mu.Lock()
	defer register.mu.Unlock()
	return register.zones
}
