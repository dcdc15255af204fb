package planner

import "strconv"

// settledKey is the key of the journal record that names the latest term whose planner has outlasted the renewals of all earlier
// planners. A later planner then only has to know of that one when it stopped to renew leases.
const settledKey = "settled"

// settles reports whether the record of settledKey has to be written for this term.
func (planner *Planner) settles() bool {
	return !planner.settled && planner.now.After(planner.former.RenewalsEnd)
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

// hostCountKey is the key of the journal record that names how many hosts the planner's decider knows, over which it counts quorums: a
// later decider may know more of them.
const hostCountKey = "hosts"

// SetHostCount sets how many hosts the decider knows, which never falls.
func (planner *Planner) SetHostCount(count int) { planner.hostCount = max(planner.hostCount, count) }

// FormerHostCount returns how many hosts each decider since the settled term knew at least, 0 if that is not known.
func (planner *Planner) FormerHostCount() int { return planner.formerHostCount }

// hostCountGrew reports whether the record of hostCountKey has to be written. Before the term has settled, an earlier decider that knows
// fewer hosts may still give leases.
func (planner *Planner) hostCountGrew() bool {
	return planner.settled && planner.hostCount > planner.storedHostCount
}

// hostCountRecord returns the record of hostCountKey if it has to be written.
func (planner *Planner) hostCountRecord() []Record {
	if !planner.hostCountGrew() {
		return nil
	}
	planner.storedHostCount = planner.hostCount
	return []Record{{Key: hostCountKey, Value: strconv.AppendInt(nil, int64(planner.hostCount), 10)}}
}

// restoreHostCount restores the record of hostCountKey. One that does not decode counts as none.
func (planner *Planner) restoreHostCount(records []Record) {
	for _, record := range records {
		if record.Key != hostCountKey {
			continue
		}
		if count, err := strconv.Atoi(string(record.Value)); err == nil && count > 0 {
			planner.hostCount, planner.storedHostCount, planner.formerHostCount = count, count, count
		}
	}
}
