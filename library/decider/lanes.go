package decider

import (
	"container/heap"
	"container/list"
	"time"

	"ebonyshunt.org/library/sizer"
)

// laneKey names the queue of works that differ in nothing that placement looks at.
type laneKey struct {
	class   Class
	team    string
	queue   string
	service string
	size    sizer.Size
	job     string // for the tasks of a gang
}

// lane is a queue of waiting tasks, oldest first.
type lane struct {
	key   laneKey
	tasks list.List // of *Task
	rank  Class     // as of the present tick
	score float64
}

func (lane *lane) head() *Task {
	return lane.tasks.Front().Value.(*Task)
}

func keyOf(task *Task) laneKey {
	key := laneKey{class: task.Class, team: task.Team, queue: task.Queue, service: task.Service, size: task.Size}
	if task.Gang > 0 {
		key.job = task.Job
	}
	return key
}

func (decider *Decider) push(task *Task) {
	key := keyOf(task)
	found := decider.lanes[key]
	if found == nil {
		found = &lane{key: key}
		decider.lanes[key] = found
	}
	task.place = found.tasks.PushBack(task)
	task.State = Queued
	team := decider.team(task.Team)
	team.Waiting++
	team.Queued = team.Queued.Add(task.Size)
	decider.queued[task.Queue]++
	decider.service(task.Service).waiting[task.Class]++
	if !task.Deadline.IsZero() {
		heap.Push(&decider.deadlines, task)
	}
}

func (decider *Decider) unqueue(task *Task) {
	if task.place == nil {
		return
	}
	key := keyOf(task)
	found := decider.lanes[key]
	found.tasks.Remove(task.place)
	task.place = nil
	team := decider.team(task.Team)
	team.Waiting--
	team.Queued = team.Queued.Sub(task.Size)
	decider.queued[task.Queue]--
	decider.service(task.Service).waiting[task.Class]--
	if found.tasks.Len() == 0 {
		delete(decider.lanes, key)
	}
}

// update sets what the lane is ordered by: the class of its head, one better for each aging span that
// it waited but never urgent, then the dominant share of its team over the team's weight.
func (decider *Decider) update(lane *lane, now time.Time) {
	team := decider.team(lane.key.team)
	instant := team.Used.Dominant(decider.total)
	lane.score = (instant + team.Average) / 2 / team.Share
	lane.rank = lane.key.class
	if lane.rank != Urgent {
		waited := now.Sub(lane.head().Queued)
		lane.rank = max(Interactive, lane.key.class-Class(waited/decider.Settings.Aging))
	}
}

// laneHeap orders lanes by rank, score and age of their heads.
type laneHeap []*lane

// Len returns the number of lanes.
func (laneHeap laneHeap) Len() int { return len(laneHeap) }

// Swap exchanges two lanes.
func (laneHeap laneHeap) Swap(i, j int) { laneHeap[i], laneHeap[j] = laneHeap[j], laneHeap[i] }

// Push adds a lane at the end, as container/heap asks.
func (laneHeap *laneHeap) Push(x any) { *laneHeap = append(*laneHeap, x.(*lane)) }

// Less reports whether lane i is served before lane j.
func (laneHeap laneHeap) Less(i, j int) bool {
	a, b := laneHeap[i], laneHeap[j]
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.score != b.score {
		return a.score < b.score
	}
	first, second := a.head(), b.head()
	if !first.Queued.Equal(second.Queued) {
		return first.Queued.Before(second.Queued)
	}
	return first.ID < second.ID
}

// Pop removes the last lane, as container/heap asks.
func (laneHeap *laneHeap) Pop() any {
	last := len(*laneHeap) - 1
	popped := (*laneHeap)[last]
	*laneHeap = (*laneHeap)[:last]
	return popped
}

// next takes the lane to serve now. Within a tick scores only grow, so a lane whose stored score is
// out of date is put back with its new one.
func (decider *Decider) next(lanes *laneHeap, now time.Time) *lane {
	for lanes.Len() > 0 {
		first := (*lanes)[0]
		before := first.score
		decider.update(first, now)
		if first.score == before {
			heap.Pop(lanes)
			return first
		}
		heap.Fix(lanes, 0)
	}
	return nil
}

// deadlineHeap orders tasks by deadline; tasks that left the queue are skipped when met.
type deadlineHeap []*Task

// Len returns the number of tasks.
func (deadlineHeap deadlineHeap) Len() int { return len(deadlineHeap) }

// Less reports whether task i is due before task j.
func (deadlineHeap deadlineHeap) Less(i, j int) bool {
	return deadlineHeap[i].Deadline.Before(deadlineHeap[j].Deadline)
}

// Swap exchanges two tasks.
func (deadlineHeap deadlineHeap) Swap(i, j int) {
	deadlineHeap[i], deadlineHeap[j] = deadlineHeap[j], deadlineHeap[i]
}

// Push adds a task at the end, as container/heap asks.
func (deadlineHeap *deadlineHeap) Push(x any) { *deadlineHeap = append(*deadlineHeap, x.(*Task)) }

// Pop removes the last task, as container/heap asks.
func (deadlineHeap *deadlineHeap) Pop() any {
	last := len(*deadlineHeap) - 1
	popped := (*deadlineHeap)[last]
	(*deadlineHeap)[last] = nil
	*deadlineHeap = (*deadlineHeap)[:last]
	return popped
}
