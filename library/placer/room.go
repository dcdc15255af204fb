package placer

import (
	"cmp"
	"slices"
	"sort"

	"ebonyshunt.org/library/sizer"
)

// Run is a run that may be stopped to make room.
type Run[R any] struct {
	Run  R
	Size sizer.Size
	Loss float64 // work that is lost with it; LeastLoss compares it
}

// Victims returns the runs to stop so that a size fits on a worker, largest shares of its capacity first, and false if stopping all of them
// does not make enough room. Of runs that are as large, the first ones are stopped. The free size is what fits without that.
func Victims[R any](runs []Run[R], needed, free, capacity sizer.Size) ([]R, bool) {
	slices.SortStableFunc(runs, func(a, b Run[R]) int {
		return cmp.Compare(b.Size.DominantShare(capacity), a.Size.DominantShare(capacity))
	})
	victims := []R{}
	for _, run := range runs {
		if needed.Fits(free) {
			break
		}
		free = free.Add(run.Size)
		victims = append(victims, run.Run)
	}
	return victims, needed.Fits(free)
}

// LeastLoss returns the runs to stop so that a size fits beside what is free, with the sum of what they lose, and false if stopping all of
// them does not make enough room. It takes those that lose least until there is room, of equal ones the first, and then leaves out
// those that the others make needless.
func LeastLoss[R any](runs []Run[R], needed, free sizer.Size) (stopped []R, loss float64, found bool) {
	slices.SortStableFunc(runs, func(a, b Run[R]) int { return cmp.Compare(a.Loss, b.Loss) })
	count := 0
	for ; count < len(runs) && !needed.Fits(free); count++ {
		free = free.Add(runs[count].Size)
	}
	if !needed.Fits(free) {
		return nil, 0, false
	}
	for _, run := range slices.Backward(runs[:count]) {
		if needed.Fits(free.Sub(run.Size)) {
			free = free.Sub(run.Size)
			continue
		}
		stopped = append(stopped, run.Run)
		loss += run.Loss
	}
	return stopped, loss, true
}

// MostFree holds the workers with the largest free shares of their capacity, at most Count of them. Of workers that are as free, those that
// were added first stay.
type MostFree[W any] struct {
	Count   int
	Workers []W       // by their shares, largest first
	shares  []float64 // of the workers
}

// Add adds a worker with a free size of its capacity if it belongs to the most free ones.
func (mostFree *MostFree[W]) Add(worker W, free, capacity sizer.Size) {
	share := free.Max(sizer.Size{}).DominantShare(capacity)
	at := sort.Search(len(mostFree.shares), func(index int) bool { return mostFree.shares[index] < share })
	if at >= mostFree.Count {
		return
	}
	mostFree.Workers, mostFree.shares = slices.Insert(mostFree.Workers, at, worker), slices.Insert(mostFree.shares, at, share)
	last := min(len(mostFree.Workers), mostFree.Count)
	mostFree.Workers, mostFree.shares = mostFree.Workers[:last], mostFree.shares[:last]
}
