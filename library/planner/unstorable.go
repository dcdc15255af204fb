package planner

import (
	"strings"
	"time"
)

// RejectRecords gives up the jobs of which the journal does not take records with the given keys, and returns their IDs: such a job fails,
// and only its state is stored from then on. It is to be called before the batch with the records counts as stored. The starts of these
// jobs in the batch are obsolete.
func (planner *Planner) RejectRecords(keys []string, now time.Time) []string {
	planner.now = now
	var ids []string
	for _, key := range keys {
		entry := planner.jobs[jobOfKey(key)]
		if entry == nil || entry.unstorable {
			continue
		}
		entry.unstorable = true
		ids = append(ids, entry.ID)
		if entry.state.Final() {
			planner.markDirty(entry)
		} else {
			planner.finishJob(entry, Failed, now)
		}
	}
	return ids
}

// Unstorable reports whether a job was given up since the journal does not take its records.
func (planner *Planner) Unstorable(id string) bool {
	entry := planner.jobs[id]
	return entry != nil && entry.unstorable
}

// jobOfKey returns the ID of the job that a key of the journal belongs to, or an empty string.
func jobOfKey(key string) string {
	for _, prefix := range []string{jobPrefix, progressPrefix} {
		if id, found := strings.CutPrefix(key, prefix); found {
			return id
		}
	}
	id, _, _ := parsePartKey(key)
	return id
}
