package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The journal also holds by when the leases of a silent worker with runs have run out, so that a later planner
// need not wait for them anew. The record is dropped before the worker is given another lease.
const lapsePrefix = "lapse/"

const (
	// lapseAfter is how long a worker has to be silent before its lapse is recorded.
	lapseAfter = time.Second
	// clockGap bounds by how much the clocks of two hosts differ, with steps of either.
	clockGap = 5 * time.Second
)

// Lapse is what is stored of a silent worker.
type Lapse struct {
	Version  int   `json:"version"`
	LapsedMS int64 `json:"lapsedMS"` // Unix milliseconds by which every lease has run out
}

// UnmarshalJSON decodes a lapse and refuses one of a later format.
func (lapse *Lapse) UnmarshalJSON(data []byte) error {
	type plain Lapse
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode lapse: %w", err)
	}
	if decoded.Version != journalVersion {
		return Error.New("lapse of format %d, this program reads %d", decoded.Version, journalVersion)
	}
	*lapse = Lapse(decoded)
	return nil
}

// noteLapses marks the lapses that have to be recorded, or to be dropped.
func (planner *Planner) noteLapses(now time.Time) {
	for id, worker := range planner.workers {
		silent := !worker.Looked && len(worker.Runs) > 0
		switch {
		case silent && now.Sub(worker.lostAt) >= lapseAfter && worker.lapsedAt().After(worker.recorded):
			planner.lapses[id] = true
		case !silent && !worker.recorded.IsZero():
			planner.dropLapse(worker)
		}
	}
}

// dropLapse marks a recorded lapse as void; until that is stored, the worker is given no lease.
func (planner *Planner) dropLapse(worker *Worker) {
	worker.recorded, worker.stored = time.Time{}, time.Time{}
	worker.voidBatch = planner.batch + 1
	planner.lapses[worker.ID] = true
}

// leasable reports whether a worker may be given leases.
func (planner *Planner) leasable(worker *Worker) bool {
	return worker.Looked && worker.voidBatch <= planner.durable
}

// lapseRecords returns the records of the lapses that have changed.
func (planner *Planner) lapseRecords() ([]Record, error) {
	var records []Record
	for _, id := range slices.Sorted(maps.Keys(planner.lapses)) {
		record := Record{Key: lapsePrefix + id}
		if worker := planner.workers[id]; worker != nil && !worker.Looked && len(worker.Runs) > 0 {
			worker.recorded = worker.lapsedAt()
			data, err := json.Marshal(&Lapse{Version: journalVersion, LapsedMS: worker.recorded.UnixMilli()})
			if err != nil {
				return nil, fmt.Errorf("encode lapse of %s: %w", id, err)
			}
			record.Value = data
		}
		records = append(records, record)
	}
	clear(planner.lapses)
	return records, nil
}

// restoreLapses takes over what earlier planners recorded, and returns the keys that did not decode.
func (planner *Planner) restoreLapses(records []Record) []string {
	var unread []string
	for _, record := range records {
		id, isLapse := strings.CutPrefix(record.Key, lapsePrefix)
		if !isLapse {
			continue
		}
		var lapse Lapse
		if err := json.Unmarshal(record.Value, &lapse); err != nil {
			unread = append(unread, record.Key)
			continue
		}
		worker := planner.worker(id)
		worker.stored = time.UnixMilli(lapse.LapsedMS).Add(clockGap)
		worker.recorded = worker.lapsedAt()
	}
	return unread
}
