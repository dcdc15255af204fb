package estimator

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	relativeAccuracy = 0.02 // of a sketch
	// maxWeight is the maximum total weight of a sketch, in runs of steps with one task. An observation that would exceed it
	// scales the earlier ones down to make room.
	maxWeight = 32
	// compactInterval is the number of observations after which bins of negligible weight are removed: weights that decay
	// without end become denormal numbers, which are slow to compute with.
	compactInterval = 1024
	minBinWeight    = 1e-9

	lowQuantile    = 0.1
	middleQuantile = 0.5
	highQuantile   = 0.9
)

// distribution is a quantile sketch whose earlier observations lose weight, and which is replaced by the latest
// observations when these show that the distribution has changed.
type distribution struct {
	mapping  mapping.IndexMapping
	sketch   *ddsketch.DDSketch
	evidence float64 // total weight of all observations, without decay
	adds     int     // number of observations since negligible bins were removed
	longer   shift
	shorter  shift
	// logs holds the logarithms of the low, middle, and high quantile while cached is set.
	logs   [3]float64
	cached bool
}

// sample is an observation.
type sample struct{ value, weight float64 }

func newDistribution(mapping mapping.IndexMapping) *distribution {
	return &distribution{mapping: mapping, sketch: newSketch(mapping)}
}

func newSketch(mapping mapping.IndexMapping) *ddsketch.DDSketch {
	return ddsketch.NewDDSketch(mapping, store.NewDenseStore(), store.NewDenseStore())
}

// observe adds a value.
func (distribution *distribution) observe(value, weight float64) {
	sample := sample{value, weight}
	if distribution.evidence > 0 {
		logValue := math.Log(value)
		distribution.longer.record(sample, logValue > distribution.longer.limitOr(distribution.logQuantile(highQuantile)))
		distribution.shorter.record(sample, logValue < distribution.shorter.limitOr(distribution.logQuantile(lowQuantile)))
	}
	distribution.add(sample)
	distribution.evidence += weight
	distribution.adoptShift()
}

// observeRunning counts a value that is still growing toward a shift to longer ones if it exceeds the high quantile, or the
// prior value, 0 for none, while there is no observation.
func (distribution *distribution) observeRunning(value, prior, weight float64) {
	limit := math.Log(prior)
	if distribution.evidence > 0 {
		limit = distribution.logQuantile(highQuantile)
	} else if prior == 0 {
		return
	}
	if math.Log(value) > distribution.longer.limitOr(limit) {
		distribution.longer.record(sample{value, weight}, true)
		distribution.adoptShift()
	}
}

// add adds a sample to the sketch and scales down the earlier ones so that the total weight is at most maxWeight.
func (distribution *distribution) add(sample sample) {
	distribution.cached = false
	if total := distribution.sketch.GetCount(); total+sample.weight > maxWeight {
		must(distribution.sketch.Reweight((maxWeight - sample.weight) / total))
	}
	must(distribution.sketch.AddWithCount(sample.value, sample.weight))
	if distribution.adds++; distribution.adds >= compactInterval {
		distribution.compact()
	}
}

// compact removes the bins of negligible weight.
func (distribution *distribution) compact() {
	distribution.adds = 0
	compacted := newSketch(distribution.mapping)
	distribution.sketch.ForEach(func(value, weight float64) bool {
		if weight >= minBinWeight {
			must(compacted.AddWithCount(value, weight))
		}
		return false
	})
	distribution.sketch = compacted
}

// adoptShift replaces the sketch by the samples of a shift that is certain.
func (distribution *distribution) adoptShift() {
	for _, certain := range []shift{distribution.longer, distribution.shorter} {
		if certain.score < shiftThreshold {
			continue
		}
		distribution.sketch = newSketch(distribution.mapping)
		weight := 0.0
		for _, sample := range certain.samples {
			distribution.add(sample)
			weight += sample.weight
		}
		distribution.evidence = max(distribution.evidence, weight)
		distribution.longer, distribution.shorter = shift{}, shift{}
		return
	}
}

// logQuantile returns the logarithm of a quantile. There must be an observation.
func (distribution *distribution) logQuantile(quantile float64) float64 {
	var index int
	switch quantile {
	case lowQuantile:
		index = 0
	case middleQuantile:
		index = 1
	case highQuantile:
		index = 2
	default:
		return distribution.computeLog(quantile)
	}
	if !distribution.cached {
		for index, quantile := range []float64{lowQuantile, middleQuantile, highQuantile} {
			distribution.logs[index] = distribution.computeLog(quantile)
		}
		distribution.cached = true
	}
	return distribution.logs[index]
}

// coarseShare returns the share, from 0 to 1, that the coarser levels have beside this one. It falls with the evidence, and
// with the difference of the medians, in logarithms, as soon as that exceeds what chance explains: then the coarser
// levels stem from work of another kind.
func (distribution *distribution) coarseShare(difference float64) float64 {
	share := coarseEvidence / (distribution.evidence + coarseEvidence)
	deviation := (distribution.logQuantile(highQuantile) - distribution.logQuantile(lowQuantile)) / deviationsBetween
	explained := deviation*deviation + priorVariance/distribution.evidence
	if square := difference * difference; square > explained {
		share *= explained / square
	}
	return share
}

const (
	// deviationsBetween is the number of standard deviations between the low and the high quantile of a normal distribution.
	deviationsBetween = 2.56
	// priorVariance is the variance of the logarithm that is assumed of a single run, which shows none. Its deviation is a
	// factor of 5.7, so that one task that takes 7 times as long as the others decides little.
	priorVariance = 3
)

// computeLog returns the logarithm of a quantile. A new value is below the largest of n earlier ones with probability
// n/(n+1), so the rank is a share of the whole weight, not of the weight less one.
func (distribution *distribution) computeLog(quantile float64) float64 {
	store := distribution.sketch.GetPositiveValueStore()
	index := store.KeyAtRank(min(max(quantile, 0), 1) * store.TotalCount())
	return math.Log(distribution.mapping.Value(index))
}

const (
	// shiftDrift is the share of values beyond the quantile, of which a tenth is expected, above which the score of a shift
	// grows.
	shiftDrift     = 0.4
	shiftThreshold = 3.0 // score of a certain shift: that of five steps beyond the quantile
	maxSamples     = 256 // maximum number of samples that a shift keeps
)

// shift is a one-sided cumulative sum test (Page, "Continuous Inspection Schemes", 1954) of whether values left the range
// of earlier ones, with the samples since it began to suspect so.
type shift struct {
	score   float64
	limit   float64 // logarithm of the quantile when the test began to suspect a change, valid while the score is positive
	samples []sample
}

// limitOr returns the logarithm of the quantile to compare the next sample with. While the test suspects a change, the
// quantile must not follow the samples in question.
func (shift *shift) limitOr(logQuantile float64) float64 {
	if shift.score == 0 {
		shift.limit = logQuantile
	}
	return shift.limit
}

// record counts a sample that is beyond the quantile of earlier ones or not.
func (shift *shift) record(sample sample, beyond bool) {
	steps := sample.weight * sample.weight // the tasks of a step may all be long, so together they count as one sample
	if beyond {
		shift.score += (1 - shiftDrift) * steps
	} else {
		shift.score -= shiftDrift * steps
	}
	if shift.score <= 0 {
		shift.score, shift.samples = 0, shift.samples[:0]
		return
	}
	if len(shift.samples) >= maxSamples {
		shift.samples = shift.samples[1:]
	}
	shift.samples = append(shift.samples, sample)
}
