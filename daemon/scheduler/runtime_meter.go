package scheduler

import (
	"math"
	runtimemetrics "runtime/metrics"
	"time"
)

// runtimeMeter measures how busy the processor of this process is, from the statistics of the Go runtime.
type runtimeMeter struct {
	samples []runtimemetrics.Sample
	waits   []uint64 // counts of the buckets of goroutineWaits at the last reading
	gcTime  float64  // seconds, at the last reading
}

// The statistics that are read.
const (
	goroutineWaits = "/sched/latencies:seconds"
	gcTime         = "/cpu/classes/gc/total:cpu-seconds"
)

// processorLoad is how busy the processor was in an interval.
type processorLoad struct {
	medianWait time.Duration // of goroutines that are ready to run, until they run
	highWait   time.Duration // the same of 99 in 100
	wakeups    uint64        // how often goroutines were ready to run
	gcTime     time.Duration // processor time of garbage collection
}

func newRuntimeMeter() *runtimeMeter {
	meter := &runtimeMeter{samples: []runtimemetrics.Sample{{Name: goroutineWaits}, {Name: gcTime}}}
	meter.read()
	return meter
}

// read returns the load since the last reading.
func (runtimeMeter *runtimeMeter) read() processorLoad {
	runtimemetrics.Read(runtimeMeter.samples)
	var load processorLoad
	if sample := runtimeMeter.samples[0].Value; sample.Kind() == runtimemetrics.KindFloat64Histogram {
		histogram := sample.Float64Histogram()
		counts := make([]uint64, len(histogram.Counts))
		for index, count := range histogram.Counts {
			counts[index] = count
			if index < len(runtimeMeter.waits) {
				counts[index] -= runtimeMeter.waits[index]
			}
			load.wakeups += counts[index]
		}
		runtimeMeter.waits = append(runtimeMeter.waits[:0], histogram.Counts...)
		load.medianWait = quantile(counts, histogram.Buckets, 0.5)
		load.highWait = quantile(counts, histogram.Buckets, 0.99)
	}
	if sample := runtimeMeter.samples[1].Value; sample.Kind() == runtimemetrics.KindFloat64 {
		load.gcTime = time.Duration((sample.Float64() - runtimeMeter.gcTime) * float64(time.Second))
		runtimeMeter.gcTime = sample.Float64()
	}
	return load
}

// quantile returns the upper bound of the bucket that holds a quantile of a histogram, or its lower bound if it has no
// upper one. Bucket i holds the values between bounds i and i+1, in seconds.
func quantile(counts []uint64, bounds []float64, fraction float64) time.Duration {
	total := uint64(0)
	for _, count := range counts {
		total += count
	}
	rank := uint64(math.Ceil(fraction * float64(total)))
	for index, count := range counts {
		if count < rank {
			rank -= count
			continue
		}
		bound := bounds[index+1]
		if math.IsInf(bound, 1) {
			bound = bounds[index]
		}
		if total == 0 || math.IsInf(bound, -1) {
			return 0
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
