package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The journal also holds the time by which all leases of an unresponsive worker with runs have expired, so that a later
// planner does not start the wait for them from the beginning. The record is deleted before the worker gets another
// lease. expiryPrefix is the prefix of its key, followed by the worker's ID.
const expiryPrefix = "lapse/"

const (
	// expiryRecordDelay is how long the runs of a worker have to be unknown before its lease expiry is recorded.
	expiryRecordDelay = time.Second
	// maxClockOffset bounds the difference between the clocks of two hosts, including steps of either clock.
	maxClockOffset = 5 * time.Second
)

// LeaseExpiry is the journal record of a worker with runs that does not answer polls.
type LeaseExpiry struct {
	Version  int   `json:"version"`
	ExpiryMS int64 `json:"lapsedMS"` // time by which every lease has expired, Unix milliseconds
}

// UnmarshalJSON decodes a lease expiry, and refuses any other format version than journalVersion.
func (leaseExpiry *LeaseExpiry) UnmarshalJSON(data []byte) error {
	type plain LeaseExpiry
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode lease expiry: %w", err)
	}
	if decoded.Version != journalVersion {
		return Error.New("lease expiry record has format version %d, this program reads version %d only", decoded.Version, journalVersion)
	}
	*leaseExpiry = LeaseExpiry(decoded)
	return nil
}

// updateExpiries marks the lease expiry records that have to be written or deleted.
func (planner *Planner) updateExpiries(now time.Time) {
	for _, worker := range planner.workerList {
		unresponsive := !worker.RunsKnown && len(worker.Runs) > 0
		switch {
		case unresponsive && now.Sub(worker.runsUnknownSince) >= expiryRecordDelay && worker.leasesExpireAt().After(worker.recordedExpiry):
			planner.changedExpiries[worker.ID] = true
		case !unresponsive && !worker.recordedExpiry.IsZero():
			planner.dropExpiry(worker)
		}
	}
}

// dropExpiry marks the lease expiry record of a worker for deletion. The worker gets no lease until the deletion is
// stored.
func (planner *Planner) dropExpiry(worker *Worker) {
	worker.recordedExpiry, worker.restoredExpiry = time.Time{}, time.Time{}
	worker.expiryDropBatch = planner.lastBatch + 1
	planner.changedExpiries[worker.ID] = true
}

// leasable reports whether a worker may be given leases: its runs are known, and the deletion of its lease expiry
// record is stored.
func (planner *Planner) leasable(worker *Worker) bool {
	return worker.RunsKnown && worker.expiryDropBatch <= planner.storedBatch
}

// expiryRecords returns the lease expiry records that have changed. A record without a value deletes one that no
// longer applies.
func (planner *Planner) expiryRecords() ([]Record, error) {
	var records []Record
	for _, id := range slices.Sorted(maps.Keys(planner.changedExpiries)) {
		record := Record{Key: expiryPrefix + id}
		if worker := planner.workers[id]; worker != nil && !worker.RunsKnown && len(worker.Runs) > 0 {
			worker.recordedExpiry = worker.leasesExpireAt()
			data, err := json.Marshal(&LeaseExpiry{Version: journalVersion, ExpiryMS: worker.recordedExpiry.UnixMilli()})
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
		var leaseExpiry LeaseExpiry
		if err := json.Unmarshal(record.Value, &leaseExpiry); err != nil {
			undecodable = append(undecodable, record.Key)
			continue
		}
		worker := planner.ensureWorker(id)
		worker.restoredExpiry = time.UnixMilli(leaseExpiry.ExpiryMS).Add(maxClockOffset)
		worker.recordedExpiry = worker.leasesExpireAt()
	}
	return undecodable
}
