package placer

import (
	"cmp"
	"container/heap"
)

// Choice is a worker that can take one more task of a step.
type Choice[W any] struct {
	Worker   W
	ID       string // of the worker
	Cost     float64
	Assigned int // number of tasks that it was assigned and has no runs of
}

// Choices are workers in the order of their costs, then of their IDs. Each worker is rated once, and again after each task that it gets,
// which gives the same choices as rating all of them for each task.
type Choices[W any] struct{ heap choiceHeap[W] }

// New returns the choices among some workers. It takes the slice over.
func New[W any](choices []Choice[W]) *Choices[W] {
	created := &Choices[W]{heap: choices}
	heap.Init(&created.heap)
	return created
}

// Best returns the best choice, and false if no worker is left. The choice is valid until the next call of Rate or Drop.
func (choices *Choices[W]) Best() (*Choice[W], bool) {
	if len(choices.heap) == 0 {
		return nil, false
	}
	return &choices.heap[0], true
}

// Rate sets the cost of the best choice.
func (choices *Choices[W]) Rate(cost float64) {
	choices.heap[0].Cost = cost
	heap.Fix(&choices.heap, 0)
}

// Drop removes the best choice.
func (choices *Choices[W]) Drop() { heap.Pop(&choices.heap) }

// choiceHeap implements heap.Interface.
type choiceHeap[W any] []Choice[W]

// Len returns the number of choices.
func (choiceHeap choiceHeap[W]) Len() int { return len(choiceHeap) }

// Less reports whether one choice is better than another.
func (choiceHeap choiceHeap[W]) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(choiceHeap[i].Cost, choiceHeap[j].Cost), cmp.Compare(choiceHeap[i].ID, choiceHeap[j].ID)) < 0
}

// Swap exchanges two choices.
func (choiceHeap choiceHeap[W]) Swap(i, j int) {
	choiceHeap[i], choiceHeap[j] = choiceHeap[j], choiceHeap[i]
}

// Push appends a choice.
func (choiceHeap *choiceHeap[W]) Push(added any) {
	*choiceHeap = append(*choiceHeap, added.(Choice[W]))
}

// Pop removes the last choice.
func (choiceHeap *choiceHeap[W]) Pop() any {
	last := (*choiceHeap)[len(*choiceHeap)-1]
	*choiceHeap = (*choiceHeap)[:len(*choiceHeap)-1]
	return last
}
