package decider

import (
	"container/heap"
	"container/list"
	"time"

	"ebonyshunt.org/library/sizer"
)

// taskQueueKey identifies a class of tasks that placement treats alike.
type taskQueueKey struct {
	class   Class
	team    string
	queue   string
	service string
	size    sizer.Size
	job     string // set for the tasks of a gang only
}

// taskQueue is the FIFO queue of waiting tasks that share a key. Tasks are placed from the head of the
// queue only.
type taskQueue struct {
	key   taskQueueKey
	tasks list.List // of *Task
	rank  Class     // class of the head after aging; lower goes first
	score float64   // dominant share of the team over its weight; lower goes first
}

func (taskQueue *taskQueue) head() *Task {
	return taskQueue.tasks.Front().Value.(*Task)
}

func taskQueueKeyOf(task *Task) taskQueueKey {
	key := taskQueueKey{class: task.Class, team: task.Team, queue: task.Queue, service: task.Service, size: task.Size}
	if task.Gang > 0 {
		key.job = task.Job
	}
	return key
}

// appendToQueue appends a task to the queue of its key and updates the counts of queued work.
func (decider *Decider) appendToQueue(task *Task) {
	key := taskQueueKeyOf(task)
	queue := decider.taskQueues[key]
	if queue == nil {
		queue = &taskQueue{key: key}
		decider.taskQueues[key] = queue
	}
	task.queueElement = queue.tasks.PushBack(task)
	task.State = Queued
	team := decider.ensureTeam(task.Team)
	team.QueuedTasks++
	team.QueuedSize = team.QueuedSize.Add(task.Size)
	decider.queueLengths[task.Queue]++
	decider.ensureService(task.Service).queuedTasks[task.Class]++
	if !task.Deadline.IsZero() {
		heap.Push(&decider.deadlines, task)
	}
}

// removeFromQueue takes a task out of its queue, if it is queued, and updates the counts of queued work.
func (decider *Decider) removeFromQueue(task *Task) {
	if task.queueElement == nil {
		return
	}
	key := taskQueueKeyOf(task)
	queue := decider.taskQueues[key]
	queue.tasks.Remove(task.queueElement)
	task.queueElement = nil
	team := decider.ensureTeam(task.Team)
	team.QueuedTasks--
	team.QueuedSize = team.QueuedSize.Sub(task.Size)
	decider.queueLengths[task.Queue]--
	decider.ensureService(task.Service).queuedTasks[task.Class]--
	if queue.tasks.Len() == 0 {
		delete(decider.taskQueues, key)
	}
}

// updateOrder sets the rank and score of a queue. The rank is the class of its head, raised by one class for
// each Settings.AgingInterval that the head has waited, but not above Interactive. The score is the mean of
// the team's current and average dominant shares, divided by the team's weight.
func (decider *Decider) updateOrder(taskQueue *taskQueue, now time.Time) {
	team := decider.ensureTeam(taskQueue.key.team)
	share := team.Used.DominantShare(decider.totalCapacity)
	taskQueue.score = (share + team.AverageShare) / 2 / team.Share
	taskQueue.rank = taskQueue.key.class
	if taskQueue.rank != Urgent {
		waited := now.Sub(taskQueue.head().QueuedAt)
		taskQueue.rank = max(Interactive, taskQueue.key.class-Class(waited/decider.Settings.AgingInterval))
	}
}

// taskQueueHeap orders task queues by rank, score and age of their heads. It implements heap.Interface.
type taskQueueHeap []*taskQueue

// Len returns the number of task queues.
func (taskQueueHeap taskQueueHeap) Len() int { return len(taskQueueHeap) }

// Swap exchanges two task queues.
func (taskQueueHeap taskQueueHeap) Swap(i, j int) {
	taskQueueHeap[i], taskQueueHeap[j] = taskQueueHeap[j], taskQueueHeap[i]
}

// Push appends a task queue; only container/heap calls it.
func (taskQueueHeap *taskQueueHeap) Push(x any) {
	*taskQueueHeap = append(*taskQueueHeap, x.(*taskQueue))
}

// Less reports whether task queue i goes before task queue j.
func (taskQueueHeap taskQueueHeap) Less(i, j int) bool {
	a, b := taskQueueHeap[i], taskQueueHeap[j]
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.score != b.score {
		return a.score < b.score
	}
	first, second := a.head(), b.head()
	if !first.QueuedAt.Equal(second.QueuedAt) {
		return first.QueuedAt.Before(second.QueuedAt)
	}
	return first.ID < second.ID
}

// Pop removes the last task queue; only container/heap calls it.
func (taskQueueHeap *taskQueueHeap) Pop() any {
	last := len(*taskQueueHeap) - 1
	popped := (*taskQueueHeap)[last]
	*taskQueueHeap = (*taskQueueHeap)[:last]
	return popped
}

// popNext removes the first task queue from the heap and returns it, or nil if the heap is empty. Grants change
// the scores of the team's other queues. As scores only grow within a tick, it suffices to update the first
// queue and to move it back if its score has changed.
func (decider *Decider) popNext(taskQueues *taskQueueHeap, now time.Time) *taskQueue {
	for taskQueues.Len() > 0 {
		first := (*taskQueues)[0]
		before := first.score
		decider.updateOrder(first, now)
		if first.score == before {
			heap.Pop(taskQueues)
			return first
		}
		heap.Fix(taskQueues, 0)
	}
	return nil
}

// deadlineHeap orders tasks by deadline. Tasks that left their queue stay in it until they are its first.
// It implements heap.Interface.
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

// Push appends a task; only container/heap calls it.
func (deadlineHeap *deadlineHeap) Push(x any) { *deadlineHeap = append(*deadlineHeap, x.(*Task)) }

// Pop removes the last task; only container/heap calls it.
func (deadlineHeap *deadlineHeap) Pop() any {
	last := len(*deadlineHeap) - 1
	popped := (*deadlineHeap)[last]
	(*deadlineHeap)[last] = nil
	*deadlineHeap = (*deadlineHeap)[:last]
	return popped
}
