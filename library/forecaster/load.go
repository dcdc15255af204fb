package forecaster

import (
	"sort"
	"time"

	"ebonyshunt.org/library/sizer"
)

// Ranked holds waiting work in the order of its ranks, with the total up to each entry. The zero value holds none.
type Ranked[R interface{ Compare(R) int }] struct {
	ranks  []R
	totals []Work
}

// Add appends work. Its rank is not lower than those of earlier calls.
func (ranked *Ranked[R]) Add(rank R, work Work) {
	if count := len(ranked.totals); count > 0 {
		work = work.Add(ranked.totals[count-1])
	}
	ranked.ranks, ranked.totals = append(ranked.ranks, rank), append(ranked.totals, work)
}

// Before returns the total of the work with a lower rank or the same one, which was accepted earlier.
func (ranked *Ranked[R]) Before(limit R) Work {
	count := sort.Search(len(ranked.ranks), func(index int) bool { return ranked.ranks[index].Compare(limit) > 0 })
	if count == 0 {
		return Work{}
	}
	return ranked.totals[count-1]
}

// Clear removes all work, and keeps the memory.
func (ranked *Ranked[R]) Clear() { ranked.ranks, ranked.totals = ranked.ranks[:0], ranked.totals[:0] }

// Running is what is left of running tasks. The zero value holds none.
type Running struct {
	Left     Work
	Size     sizer.Size // of the runs, without standing ones
	Standing sizer.Size // of the runs of standing tasks, which are not counted otherwise
	seconds  float64    // sum of the expected run times
	runs     int
}

// Add adds a run of a task that is expected to take a time, of which some has elapsed.
func (running *Running) Add(size sizer.Size, expected, elapsed time.Duration) {
	running.Left = running.Left.Add(Of(size, 1, max(expected-elapsed, 0)))
	running.Size = running.Size.Add(size)
	running.seconds += expected.Seconds()
	running.runs++
}

// AddStanding adds a run of a standing task.
func (running *Running) AddStanding(size sizer.Size) { running.Standing = running.Standing.Add(size) }

// Merge adds the runs of another one.
func (running *Running) Merge(other *Running) {
	running.Left, running.Size = running.Left.Add(other.Left), running.Size.Add(other.Size)
	running.Standing = running.Standing.Add(other.Standing)
	running.seconds += other.seconds
	running.runs += other.runs
}

// RunTime returns the mean of the expected run times, 0 without runs.
func (running *Running) RunTime() time.Duration {
	return time.Duration(running.seconds / float64(max(running.runs, 1)) * float64(time.Second))
}
