package planner

import (
	"encoding/json"
	"fmt"
	"time"

	"ebonyshunt.org/library/encoder"
	"ebonyshunt.org/library/lessor"
)

// A planner that is about to be replaced as planned stops giving leases and records when those on each worker have expired. The next
// planner then waits for no lease for longer than this one would have.

// handoverKey is the key of the journal record of a planner that gives no leases any more. The planner deletes it before it gives leases
// again.
const handoverKey = "handover"

// handingOver is the state of a planner that hands over, or did and was not replaced.
type handingOver struct {
	begun       bool  // whether no leases are given
	changed     bool  // whether the record of handoverKey has to be written or deleted
	batch       int64 // number of the batch with the record
	resumeBatch int64 // number of the batch that deletes the record, 0 if there was none
}

// BeginHandover ends the giving of leases. It returns the number of the batch that records it, and whether that batch is stored.
func (planner *Planner) BeginHandover(now time.Time) (batch int64, stored bool) {
	planner.now = now
	if !planner.handingOver.begun {
		planner.handingOver = handingOver{begun: true, changed: true, batch: planner.lastBatch + 1}
	}
	return planner.handingOver.batch, planner.handingOver.batch <= planner.storedBatch
}

// CancelHandover gives leases again as soon as the record of BeginHandover has been deleted.
func (planner *Planner) CancelHandover() {
	if planner.handingOver.begun {
		planner.handingOver = handingOver{changed: true, resumeBatch: planner.lastBatch + 1}
	}
}

// givesLeases reports whether leases may be given as far as a handover is concerned.
func (planner *Planner) givesLeases() bool {
	return !planner.handingOver.begun && planner.handingOver.resumeBatch <= planner.storedBatch
}

// handoverRecord returns the record of handoverKey if it has to be written or deleted.
func (planner *Planner) handoverRecord() ([]Record, error) {
	if !planner.handingOver.changed {
		return nil, nil
	}
	planner.handingOver.changed = false
	if !planner.handingOver.begun {
		return []Record{{Key: handoverKey}}, nil
	}
	handover := encoder.Handover{
		Version: encoder.HandoverVersion, Term: planner.Term, Workers: map[string]int64{},
		UnknownLives: map[string]int64{},
		RenewalsMS:   planner.untilMS(planner.former.RenewalsEnd), LeasesMS: planner.untilMS(planner.former.ExpireBy),
	}
	for _, worker := range planner.workerList {
		if len(worker.Runs) > 0 {
			bounds := worker.leaseBounds()
			handover.Workers[worker.ID], handover.UnknownLives[worker.ID] = planner.untilMS(bounds.Known), planner.untilMS(bounds.Unknown)
		}
	}
	data, err := json.Marshal(&handover)
	if err != nil {
		return nil, fmt.Errorf("encode handover: %w", err)
	}
	return []Record{{Key: handoverKey, Value: data}}, nil
}

// untilMS returns the time until at in milliseconds, rounded up, 0 if it has passed.
func (planner *Planner) untilMS(at time.Time) int64 {
	remaining := at.Sub(planner.now)
	if remaining <= 0 {
		return 0
	}
	return remaining.Milliseconds() + 1
}

// inMS returns the time after a number of milliseconds from now on.
func (planner *Planner) inMS(ms int64) time.Time {
	return planner.now.Add(time.Duration(ms) * time.Millisecond)
}

// restoreHandover restores the times of a handover by the planner of Settings.FormerTerm, and returns the key of a record that does not
// decode. A record of an earlier planner says nothing of the leases that were given since.
func (planner *Planner) restoreHandover(records []Record) []string {
	for _, record := range records {
		if record.Key != handoverKey {
			continue
		}
		var handover encoder.Handover
		if err := json.Unmarshal(record.Value, &handover); err != nil {
			return []string{record.Key}
		}
		if handover.Term == planner.Settings.FormerTerm {
			planner.applyHandover(handover)
		}
	}
	return nil
}

func (planner *Planner) applyHandover(handover encoder.Handover) {
	planner.former.RenewalsEnd = planner.inMS(handover.RenewalsMS)
	planner.former.ExpireBy = planner.inMS(handover.LeasesMS)
	planner.former.CallsEnd = planner.now.Add(planner.Settings.CallTime)
	if handover.RenewalsMS > 0 { // a planner before that one may still give leases
		planner.former.CallsEnd = planner.former.RenewalsEnd.Add(planner.Settings.FormerCallWindow + planner.Settings.CallTime)
	}
	for id, leasesMS := range handover.Workers {
		bounds := lessor.Bounds{Known: planner.inMS(leasesMS)}
		if unknownMS, found := handover.UnknownLives[id]; found { // planners of earlier releases do not tell
			bounds.Unknown = planner.inMS(unknownMS)
		}
		planner.ensureWorker(id).leases.HandOver(bounds, planner.now)
	}
	planner.HandedOver = true
}
