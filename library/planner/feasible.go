package planner

import "ebonyshunt.org/library/sizer"

// emptied returns the capacity of a worker once all its runs but the standing ones have ended.
func (worker *Worker) emptied() sizer.Size { return worker.Capacity.Sub(worker.standingSize) }

// fitsWhenEmptied reports whether a step could start if all runs but the standing ones ended, and for a serving step the fillers too. If not, it
// is of no use to keep workers free for it or to stop runs. Workers that the policy has not been asked about count as allowed.
func (pass *pass) fitsWhenEmptied(step *step, queue Queue) bool {
	wanted := 1
	if step.Gang {
		wanted = step.Count
	}
	room := 0
	for _, worker := range pass.pool(queue.Service).workers {
		switch {
		case step.policy.Denied(worker.ID):
		case pass.obstacleOnceEmptied(step, queue, worker) == obstacleNone:
			room += step.countIn(worker.emptied(), wanted)
		case pass.couldDisplace(step, queue, worker):
			room++
		}
		if room >= wanted {
			return true
		}
	}
	return false
}

// countIn returns how many tasks of the step fit into an otherwise empty worker's capacity, at most the given number.
func (step *step) countIn(capacity sizer.Size, most int) int {
	if step.MaxPerWorker > 0 {
		most = min(most, step.MaxPerWorker)
	}
	count := 0
	for size := step.chargedSize(); count < most && size.Mul(int64(count+1)).Fits(capacity); {
		count++
	}
	return count
}

// roomIsQueried reports whether the tasks of the open queries are expected to take all free room of a service, of any resource
// that the step needs.
func (pass *pass) roomIsQueried(step *step, service string) bool {
	size, queried, free := step.chargedSize(), pass.queriedSize[service], pass.pool(service).totalFree
	return isTaken(size.MilliCores, queried.MilliCores, free.MilliCores) || isTaken(size.MemoryMB, queried.MemoryMB, free.MemoryMB) ||
		isTaken(size.Accelerators, queried.Accelerators, free.Accelerators)
}

// isTaken reports whether all of a resource that is needed is expected to be taken.
func isTaken(needed, queried, free int64) bool { return needed > 0 && queried > 0 && queried >= free }
