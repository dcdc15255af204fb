package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/encoder"
	"ebonyshunt.org/library/lessor"
)

// The journal also holds the time by which all leases of an unresponsive worker with runs have expired, so that a later
// planner does not start the wait for them from the beginning. The record is deleted before the worker gets another
// lease. expiryPrefix is the prefix of its key, followed by the worker's ID.
const expiryPrefix = "lapse/"

const (
	// expiryRecordDelay is how long the runs of a worker have to be unknown before its lease expiry is recorded.
	expiryRecordDelay = time.Second
	// expiryRefreshInterval is the time after which the record is written again: a later planner counts the rest of the
	// wait from when it reads the record, because the clocks of two hosts cannot be compared.
	expiryRefreshInterval = 2 * time.Second
)

// updateExpiries marks the lease expiry records that have to be written or deleted.
func (planner *Planner) updateExpiries(now time.Time) {
	for _, worker := range planner.workerList {
		unresponsive := !worker.RunsKnown && len(worker.Runs) > 0
		switch {
		case unresponsive && now.Sub(worker.runsUnknownSince) >= expiryRecordDelay && worker.expiryRecordOutdated(now):
			planner.changedExpiries[worker.ID] = true
		case !unresponsive && worker.recordedExpiry != (lessor.Bounds{}):
			planner.dropExpiry(worker)
		}
	}
}

// expiryRecordOutdated reports whether the worker's journal record is missing, too early, or due to be refreshed.
func (worker *Worker) expiryRecordOutdated(now time.Time) bool {
	bounds, recorded := worker.leaseBounds(), worker.recordedExpiry
	later := bounds.Known.After(recorded.Known) || bounds.Unknown.After(recorded.Unknown)
	return later || bounds.Unknown.After(now) && now.Sub(worker.expiryRecordedAt) >= expiryRefreshInterval
}

// dropExpiry marks the lease expiry record of a worker for deletion. The worker gets no lease until the deletion is
// stored.
func (planner *Planner) dropExpiry(worker *Worker) {
	worker.recordedExpiry = lessor.Bounds{}
	worker.leases.DropRecord()
	worker.expiryDropBatch = planner.lastBatch + 1
	planner.changedExpiries[worker.ID] = true
}

// leasable reports whether a worker may be given leases: this planner may give any, the worker's runs are known, and
// the deletion of its lease expiry record is stored.
func (planner *Planner) leasable(worker *Worker) bool {
	return planner.mayLease && planner.givesLeases() && worker.RunsKnown && worker.expiryDropBatch <= planner.storedBatch
}

// expiryRecords returns the lease expiry records that have changed. A record without a value deletes one that no
// longer applies.
func (planner *Planner) expiryRecords() ([]Record, error) {
	var records []Record
	for _, id := range slices.Sorted(maps.Keys(planner.changedExpiries)) {
		record := Record{Key: expiryPrefix + id}
		if worker := planner.workers[id]; worker != nil && !worker.RunsKnown && len(worker.Runs) > 0 {
			worker.recordedExpiry, worker.expiryRecordedAt = worker.leaseBounds(), planner.now
			data, err := json.Marshal(&encoder.LeaseExpiry{
				Version: encoder.LeaseExpiryVersion, RemainingMS: planner.untilMS(worker.recordedExpiry.Known),
				UnknownLivesMS: max(planner.untilMS(worker.recordedExpiry.Unknown), 1), // 0 would stand for not known
			})
			if err != nil {
				return nil, fmt.Errorf("encode lease expiry of worker %s: %w", id, err)
			}
			record.Value = data
		}
		records = append(records, record)
	}
	clear(planner.changedExpiries)
	return records, nil
}

// restoreExpiries restores the lease expiries that earlier planners recorded, and returns the keys of the records
// that do not decode.
func (planner *Planner) restoreExpiries(records []Record) []string {
	var undecodable []string
	for _, record := range records {
		id, isExpiry := strings.CutPrefix(record.Key, expiryPrefix)
		if !isExpiry {
			continue
		}
		var leaseExpiry encoder.LeaseExpiry
		if err := json.Unmarshal(record.Value, &leaseExpiry); err != nil {
			undecodable = append(undecodable, record.Key)
			continue
		}
		worker := planner.ensureWorker(id)
		bounds := lessor.Bounds{Known: planner.inMS(leaseExpiry.RemainingMS)}
		if leaseExpiry.UnknownLivesMS > 0 {
			bounds.Unknown = planner.inMS(leaseExpiry.UnknownLivesMS)
		}
		worker.leases.Record(bounds)
		worker.recordedExpiry, worker.expiryRecordedAt = bounds, planner.now
	}
	return undecodable
}
