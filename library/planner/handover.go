package planner

import (
	"encoding/json"
	"fmt"
	"time"

	"ebonyshunt.org/library/encoder"
)

// A planner that is about to be replaced as planned stops giving leases and records when those on each worker have expired. The next
// planner then waits for no lease for longer than this one would have.

const (
	// handoverKey is the key of the journal record of a planner that gives no leases any more. The planner deletes it before it gives
	// leases again.
	handoverKey = "handover"
	// minHandoverWait is the least wait for the leases of a worker with runs: if it answers, it tells what became of them.
	minHandoverWait = 500 * time.Millisecond
)

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
		RenewalsMS: planner.untilMS(planner.formerRenewalsEnd), LeasesMS: planner.untilMS(planner.formerLeasesExpireBy),
	}
	for _, worker := range planner.workerList {
		if len(worker.Runs) > 0 {
			handover.Workers[worker.ID] = planner.untilMS(worker.leasesExpireAt())
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
	planner.formerRenewalsEnd = planner.now.Add(time.Duration(handover.RenewalsMS) * time.Millisecond)
	planner.formerLeasesExpireBy = planner.now.Add(time.Duration(handover.LeasesMS) * time.Millisecond)
	for id, leasesMS := range handover.Workers {
		wait := max(time.Duration(leasesMS)*time.Millisecond, minHandoverWait)
		worker := planner.ensureWorker(id)
		worker.leasesExpireBy = planner.now.Add(wait)
		worker.handoverExpireBy = worker.leasesExpireBy
	}
	planner.HandedOver = true
}
