package planner

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/library/encoder"
	"ebonyshunt.org/library/partitioner"
)

// The progress of a job with many tasks is divided: the record of progressPrefix names its occurrences only, and its tasks are in further
// records of a bounded size, the parts. The key of a part is partPrefix, followed by the job's ID, the number of the occurrence and that of
// the part.
const (
	partPrefix    = "part/"
	partKeyFields = 3 // of a key after partPrefix
	// partTasks is the number of tasks of a part. With two runs of each task on workers with long IDs, a part has some 80 KB.
	partTasks = 128
	// maxUndividedTasks is the number of tasks, of all occurrences in memory, up to which the progress of a job is one record.
	maxUndividedTasks = 256
)

// newLayout returns how the tasks of the job are divided into parts, nil if its progress is one record.
func (job *Job) newLayout() *partitioner.Layout {
	if job.taskCount()*job.maxOccurrences() <= maxUndividedTasks {
		return nil
	}
	counts := make([]int, len(job.Steps))
	for number := range job.Steps {
		counts[number] = job.Steps[number].Count
	}
	return partitioner.New(counts, partTasks)
}

// touch marks the stored progress of a task as changed. The next batch that stores its job stores its part too.
func (step *step) touch(index int) {
	if entry := step.job; entry.layout != nil {
		entry.parts.Touch(partitioner.Part{Occurrence: step.key.Occurrence, Number: entry.layout.PartOf(step.key.Step, index)})
	}
}

func partKey(id string, part partitioner.Part) string {
	return fmt.Sprintf("%s%s/%d/%d", partPrefix, id, part.Occurrence, part.Number)
}

// parsePartKey is the inverse of partKey. It reports false for any other key.
func parsePartKey(key string) (id string, part partitioner.Part, isPart bool) {
	rest, isPart := strings.CutPrefix(key, partPrefix)
	fields := strings.Split(rest, "/")
	if !isPart || len(fields) != partKeyFields {
		return "", part, false
	}
	occurrence, err := strconv.Atoi(fields[1])
	number, numberErr := strconv.Atoi(fields[2])
	part = partitioner.Part{Occurrence: occurrence, Number: number}
	return fields[0], part, err == nil && numberErr == nil
}

// partRecords returns the records of a job's parts that have changed, and the deletions of those that are not needed any more.
func (planner *Planner) partRecords(entry *jobEntry) (written, deleted []Record, err error) {
	for _, part := range entry.parts.TakeChanged() {
		key := partKey(entry.ID, part)
		occurrence := entry.occurrences[part.Occurrence]
		if entry.layout == nil || occurrence == nil || entry.unstorable || entry.state.Final() && !occurrence.hasOpenRunsIn(entry.layout.Spans(part.Number)) {
			if entry.parts.RemoveRecord(part) {
				deleted = append(deleted, Record{Key: key})
			}
			continue
		}
		progress := occurrence.partProgress(entry.layout.Spans(part.Number))
		record, err := planner.encode(key, &progress)
		if err != nil {
			return nil, nil, err
		}
		entry.parts.AddRecord(part)
		written = append(written, record)
	}
	return written, deleted, nil
}

// hasOpenRunsIn reports whether a run of one of the tasks exists or may exist.
func (occurrence *occurrence) hasOpenRunsIn(spans []partitioner.Span) bool {
	return slices.ContainsFunc(spans, func(span partitioner.Span) bool {
		tasks := occurrence.steps[span.Step].tasks[span.First:span.End]
		return slices.ContainsFunc(tasks, func(task task) bool { return task.run != nil })
	})
}

// partProgress returns the progress of the tasks of a part as it is stored.
func (occurrence *occurrence) partProgress(spans []partitioner.Span) encoder.Part {
	progress := encoder.Part{Version: encoder.PartVersion}
	for _, span := range spans {
		progress.Steps = append(progress.Steps, encoder.PartStep{
			Step: span.Step, First: span.First, StepProgress: occurrence.steps[span.Step].progress(span.First, span.End),
		})
	}
	return progress
}

// checkpointHolder is a record with checkpoints.
type checkpointHolder interface{ DropCheckpoints() }

// encode returns a record with a value. The workers choose how long checkpoints are: if the record would be larger than
// Settings.MaxRecordBytes with them, it has none, and after a takeover tasks that were stopped begin anew.
func (planner *Planner) encode(key string, value checkpointHolder) (Record, error) {
	data, err := json.Marshal(value)
	if limit := planner.Settings.MaxRecordBytes; err == nil && limit > 0 && len(key)+len(data) > limit {
		value.DropCheckpoints()
		data, err = json.Marshal(value)
	}
	if err != nil {
		return Record{}, fmt.Errorf("encode %s: %w", key, err)
	}
	return Record{Key: key, Value: data}, nil
}

// storedPart is a part as it was read from the journal.
type storedPart struct {
	key      string
	part     partitioner.Part
	progress encoder.Part
}

// decodeParts returns the parts among the records, by job, and the keys of those that do not decode, with the jobs that they name.
func decodeParts(records []Record) (parts map[string][]storedPart, undecodable map[string]string) {
	parts, undecodable = map[string][]storedPart{}, map[string]string{}
	for _, record := range records {
		if !strings.HasPrefix(record.Key, partPrefix) {
			continue
		}
		stored := storedPart{key: record.Key}
		id, part, isPart := parsePartKey(record.Key)
		if !isPart || json.Unmarshal(record.Value, &stored.progress) != nil {
			undecodable[record.Key] = id
			continue
		}
		stored.part = part
		parts[id] = append(parts[id], stored)
	}
	return parts, undecodable
}

// restoreParts rebuilds the tasks of a job from its parts. Parts of occurrences that its progress does not name are deleted. The progress
// of a job that an earlier release stored in one record is divided with the next batch.
func (planner *Planner) restoreParts(entry *jobEntry, progress encoder.Progress, parts []storedPart, now time.Time) {
	if entry.layout == nil {
		planner.dropStrayParts(map[string][]storedPart{entry.ID: parts})
		return
	}
	isDivided := progress.Version == encoder.DividedVersion
	for _, stored := range parts {
		entry.parts.AddRecord(stored.part)
		if occurrence := entry.occurrences[stored.part.Occurrence]; occurrence != nil && isDivided {
			planner.restorePart(occurrence, stored.progress, now)
		}
	}
	entry.parts.TakeChanged() // what was restored has not changed
	entry.parts.TouchStored(func(part partitioner.Part) bool { return !isDivided || entry.occurrences[part.Occurrence] == nil })
	if !isDivided {
		entry.touchAll()
	}
	if entry.parts.Changed() {
		planner.markDirty(entry)
	}
}

func (planner *Planner) restorePart(occurrence *occurrence, progress encoder.Part, now time.Time) {
	for _, step := range progress.Steps {
		if step.Step < len(occurrence.steps) {
			planner.restoreStep(occurrence.steps[step.Step], step.First, step.StepProgress, now)
		}
	}
}

// touchAll marks all parts of the job as changed.
func (jobEntry *jobEntry) touchAll() {
	for number := range jobEntry.occurrences {
		for part := range jobEntry.layout.Parts() {
			jobEntry.parts.Touch(partitioner.Part{Occurrence: number, Number: part})
		}
	}
}

// dropStrayParts deletes the records of parts to which no job refers.
func (planner *Planner) dropStrayParts(parts map[string][]storedPart) {
	for _, stored := range parts {
		for _, part := range stored {
			planner.staleKeys = append(planner.staleKeys, part.key)
		}
	}
	slices.Sort(planner.staleKeys)
}
