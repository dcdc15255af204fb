package forecaster

import (
	"time"

	"ebonyshunt.org/library/sizer"
)

// Work is an amount of work: for each resource, the amount that tasks hold, multiplied by the seconds for which they hold it.
type Work struct {
	MilliCores   float64
	MemoryMB     float64
	Accelerators float64
}

// Of returns the work of a number of tasks of one size that run for a time each.
func Of(size sizer.Size, tasks int, runTime time.Duration) Work {
	seconds := runTime.Seconds() * float64(tasks)
	return Work{
		MilliCores:   float64(size.MilliCores) * seconds,
		MemoryMB:     float64(size.MemoryMB) * seconds,
		Accelerators: float64(size.Accelerators) * seconds,
	}
}

// Add returns the sum of both amounts.
func (work Work) Add(other Work) Work {
	return Work{
		MilliCores:   work.MilliCores + other.MilliCores,
		MemoryMB:     work.MemoryMB + other.MemoryMB,
		Accelerators: work.Accelerators + other.Accelerators,
	}
}

// Sub returns work minus other. Members of the result may be negative.
func (work Work) Sub(other Work) Work { return work.Add(other.Scale(-1)) }

// Scale returns the work multiplied by a factor.
func (work Work) Scale(factor float64) Work {
	return Work{MilliCores: work.MilliCores * factor, MemoryMB: work.MemoryMB * factor, Accelerators: work.Accelerators * factor}
}

// Seconds returns how long a capacity takes for the work: the time of the resource that takes longest, its dominant resource.
// A resource of which the capacity has none does not count.
func (work Work) Seconds(capacity sizer.Size) float64 {
	longest := seconds(work.MilliCores, capacity.MilliCores)
	longest = max(longest, seconds(work.MemoryMB, capacity.MemoryMB))
	return max(longest, seconds(work.Accelerators, capacity.Accelerators))
}

// Bound returns the part of the work that can be done in a time within a cap, where 0 stands for a resource without a cap.
func (work Work) Bound(limit sizer.Size, within time.Duration) Work {
	if longest := work.Seconds(limit); longest > within.Seconds() {
		return work.Scale(within.Seconds() / longest)
	}
	return work
}

func seconds(work float64, capacity int64) float64 {
	if capacity <= 0 || work <= 0 {
		return 0
	}
	return work / float64(capacity)
}

// neededOf returns the members of a capacity of which a size needs some.
func neededOf(capacity, size sizer.Size) sizer.Size {
	if size.MilliCores <= 0 {
		capacity.MilliCores = 0
	}
	if size.MemoryMB <= 0 {
		capacity.MemoryMB = 0
	}
	if size.Accelerators <= 0 {
		capacity.Accelerators = 0
	}
	return capacity
}
