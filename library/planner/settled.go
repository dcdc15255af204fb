package planner

import "strconv"

// settledKey is the key of the journal record that names the latest term whose planner has outlasted the renewals of all earlier
// planners. A later planner then only has to know of that one when it stopped to renew leases.
const settledKey = "settled"

// settles reports whether the record of settledKey has to be written for this term.
func (planner *Planner) settles() bool {
	return !planner.settled && planner.now.After(planner.formerRenewalsEnd)
}

// settledRecord returns the record of settledKey once, when no earlier planner renews leases any more.
func (planner *Planner) settledRecord() []Record {
	if !planner.settles() {
		return nil
	}
	planner.settled = true
	return []Record{{Key: settledKey, Value: strconv.AppendInt(nil, planner.Term, 10)}}
}

// restoreSettledTerm restores the term in the record of settledKey. A record that does not decode counts as none.
func (planner *Planner) restoreSettledTerm(records []Record) {
	for _, record := range records {
		if record.Key != settledKey {
			continue
		}
		if term, err := strconv.ParseInt(string(record.Value), 10, 64); err == nil {
			planner.settledTerm = term
		}
	}
}

// SettledTerm returns the latest term before this one whose planner knew that no planner of a lower term renews leases any
// more, 0 if none is known.
func (planner *Planner) SettledTerm() int64 { return planner.settledTerm }
