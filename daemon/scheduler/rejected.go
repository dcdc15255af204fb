package scheduler

import (
	"slices"
	"strconv"
	"time"

	"ebonyshunt.org/platform/translator"
)

// rejectionsToDrop is the number of rejections of an append in a row after which its largest record is taken for the cause, if no record is
// above a limit that is known.
const rejectionsToDrop = 3

// rejectedIndex returns the index of the record for which the store rejected an append so many times in a row, or -1 if the append is to be
// repeated first.
func (journal *journal) rejectedIndex(entries []translator.Entry, rejections int) int {
	store := journal.tenure.host.store
	if index := slices.IndexFunc(entries, func(entry translator.Entry) bool { return !store.Takes(entry) }); index >= 0 {
		return index
	}
	if rejections < rejectionsToDrop {
		return -1
	}
	largest := 0
	for index, entry := range entries {
		if len(entry.Value) > len(entries[largest].Value) {
			largest = index
		}
	}
	return largest
}

// withoutEntry returns the entries without one of them. If none is left, it returns the record of the term instead: each sequence number
// has to be stored before the next one.
func withoutEntry(entries []translator.Entry, index int, term int64) []translator.Entry {
	rest := slices.Delete(slices.Clone(entries), index, index+1)
	if len(rest) == 0 {
		return []translator.Entry{termEntry(term)}
	}
	return rest
}

// termEntry returns the record that a tenure begins with.
func termEntry(term int64) translator.Entry {
	return translator.Entry{Key: termKey, Value: strconv.AppendInt(nil, term, 10)}
}

// dropRejected gives up the jobs of records that the store does not take, before the batch that they belong to counts as stored.
func (tenure *tenure) dropRejected(keys []string) {
	if len(keys) == 0 {
		return
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, id := range tenure.planner.RejectRecords(keys, time.Now()) {
		tenure.host.log.Error("job given up, the store does not take its records", "job", id)
	}
}
