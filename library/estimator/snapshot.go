package estimator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

const (
	snapshotVersion = 1
	// MaxSnapshotBytes is the maximum size of a snapshot. The least recently used levels that do not fit are left out.
	MaxSnapshotBytes = 64 << 10
	// snapshotPoints is the number of quantiles that stand for a distribution. With 15, the quantiles 0.1, 0.5, and 0.9 are
	// among them.
	snapshotPoints = 15
)

// Record is the stored form of an estimator.
type Record struct {
	Version int           `json:"version"`
	Levels  []LevelRecord `json:"levels"`
}

// LevelRecord is the stored form of one level of a queue, step, or team.
type LevelRecord struct {
	Level   Level               `json:"level"`
	Queue   string              `json:"queue"`
	Step    int                 `json:"step,omitempty"`
	Team    string              `json:"team,omitempty"`
	Runs    int                 `json:"runs"`
	Seconds DistributionRecord  `json:"seconds"`
	Ratios  *DistributionRecord `json:"ratios,omitempty"` // nil without a usable estimate
}

// DistributionRecord is the stored form of a distribution.
type DistributionRecord struct {
	Weight   float64 `json:"weight"`
	Evidence float64 `json:"evidence"`
	// Bins holds the sketch's bins of snapshotPoints quantiles: the index of the first one, and the differences between
	// successive ones.
	Bins []int `json:"bins"`
}

// UnmarshalJSON decodes a snapshot, and refuses any other format version than snapshotVersion.
func (record *Record) UnmarshalJSON(data []byte) error {
	var header struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return fmt.Errorf("decode version: %w", err)
	}
	if header.Version != snapshotVersion {
		return Error.New("snapshot has format version %d, this program reads version %d only", header.Version, snapshotVersion)
	}
	type plain Record
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode levels: %w", err)
	}
	*record = Record(decoded)
	return nil
}

// UnmarshalJSON decodes a level, and refuses an unknown one.
func (levelRecord *LevelRecord) UnmarshalJSON(data []byte) error {
	type plain LevelRecord
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode level: %w", err)
	}
	if decoded.Level < QueueLevel || decoded.Level > TeamLevel || decoded.Runs < 0 || decoded.Runs > maxRuns {
		return Error.New("queue %q has level %d with %d runs: levels are 1 to 3, runs 0 to %d", decoded.Queue, decoded.Level, decoded.Runs, maxRuns)
	}
	*levelRecord = LevelRecord(decoded)
	return nil
}

// UnmarshalJSON decodes a distribution, and refuses one with bins or weights that no sketch of this package has.
func (distributionRecord *DistributionRecord) UnmarshalJSON(data []byte) error {
	type plain DistributionRecord
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode distribution: %w", err)
	}
	switch {
	case len(decoded.Bins) == 0 && decoded.Weight == 0 && decoded.Evidence == 0:
	case len(decoded.Bins) != snapshotPoints:
		return Error.New("distribution has %d bins, want %d", len(decoded.Bins), snapshotPoints)
	case decoded.Weight <= 0 || decoded.Weight > maxWeight+1 || decoded.Evidence <= 0 || decoded.Evidence > maxRuns:
		return Error.New("distribution has weight %v of evidence %v: want more than 0, and at most %d and %d", decoded.Weight, decoded.Evidence, maxWeight, maxRuns)
	}
	bin := 0
	for position, difference := range decoded.Bins {
		if bin += difference; position > 0 && difference < 0 || bin < -maxBin || bin > maxBin {
			return Error.New("distribution has bin %d after a difference of %d: bins grow, and are at most %d away from 0", bin, difference, maxBin)
		}
	}
	*distributionRecord = DistributionRecord(decoded)
	return nil
}

// maxRuns bounds the counts of a stored level, so that they can be added up.
const maxRuns = 1_000_000_000_000

// maxBin bounds the bins of a stored distribution. Run times of 1 ms to 30 days are in bins -173 to 370.
const maxBin = 1000

// Changed reports whether anything was observed since the last snapshot.
func (estimator *Estimator) Changed() bool { return estimator.changed }

// Snapshot returns the learned distributions in a versioned format, MaxSnapshotBytes at most.
func (estimator *Estimator) Snapshot() ([]byte, error) {
	keys := slices.SortedFunc(maps.Keys(estimator.nodes), func(a, b key) int {
		return cmp.Or(cmp.Compare(estimator.nodes[b].usedAt, estimator.nodes[a].usedAt), a.compare(b))
	})
	data := fmt.Appendf(nil, `{"version":%d,"levels":[`, snapshotVersion)
	const end = "]}"
	first := true
	for _, key := range keys {
		node := estimator.nodes[key]
		if node.seconds.evidence == 0 {
			continue
		}
		encoded, err := json.Marshal(node.record(key))
		if err != nil {
			return nil, fmt.Errorf("encode level %s of queue %s: %w", key.level, key.queue, err)
		}
		if len(data)+len(",")+len(encoded)+len(end) > MaxSnapshotBytes {
			break
		}
		if !first {
			data = append(data, ',')
		}
		first = false
		data = append(data, encoded...)
	}
	estimator.changed = false
	return append(data, end...), nil
}

// Restore adds the distributions of a snapshot to those that were learned. The order in which snapshots are added does not
// matter. It returns an error, and adds nothing, if the snapshot is damaged or of another version.
func (estimator *Estimator) Restore(data []byte) error {
	var restored Record
	if err := json.Unmarshal(data, &restored); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	for _, record := range slices.Backward(restored.Levels) { // the least recently used ones first
		key := key{level: record.Level, queue: record.Queue, step: record.Step, team: record.Team}
		estimator.clock++
		node := estimator.nodes[key]
		if node == nil {
			node = estimator.create(key)
		}
		node.usedAt = estimator.clock
		node.runs += record.Runs
		node.seconds.restore(record.Seconds)
		if record.Ratios != nil {
			node.ratios.restore(*record.Ratios)
		}
	}
	return nil
}

// compare orders keys by level, queue, step, and team.
func (key key) compare(other key) int {
	return cmp.Or(cmp.Compare(key.level, other.level), cmp.Compare(key.queue, other.queue),
		cmp.Compare(key.step, other.step), cmp.Compare(key.team, other.team))
}

func (node *node) record(key key) LevelRecord {
	record := LevelRecord{
		Level: key.level, Queue: key.queue, Step: key.step, Team: key.team, Runs: node.runs, Seconds: node.seconds.record(),
	}
	if node.ratios.evidence > 0 {
		ratios := node.ratios.record()
		record.Ratios = &ratios
	}
	return record
}

// record returns the stored form, with weights rounded to thousandths.
func (distribution *distribution) record() DistributionRecord {
	store := distribution.sketch.GetPositiveValueStore()
	weight := store.TotalCount()
	record := DistributionRecord{Weight: rounded(min(weight, maxWeight)), Evidence: rounded(distribution.evidence)}
	total := 0.0
	previous := 0
	store.ForEach(func(index int, count float64) bool {
		total += count
		for len(record.Bins) < snapshotPoints && total > (float64(len(record.Bins))+0.5)/snapshotPoints*weight {
			record.Bins = append(record.Bins, index-previous)
			previous = index
		}
		return false
	})
	for len(record.Bins) < snapshotPoints { // the sum of the counts may be less than the total by rounding
		record.Bins = append(record.Bins, 0)
	}
	return record
}

// rounded rounds up to thousandths, so that a positive weight stays positive.
func rounded(weight float64) float64 { return float64(int64(weight*1000)+1) / 1000 }

// restore adds a stored distribution.
func (distribution *distribution) restore(record DistributionRecord) {
	distribution.cached = false
	distribution.evidence += record.Evidence
	store := distribution.sketch.GetPositiveValueStore()
	bin := 0
	for _, difference := range record.Bins {
		bin += difference
		store.AddWithCount(bin, record.Weight/snapshotPoints)
	}
}
