package planner

import (
	"maps"
	"slices"
)

// rack is a label that some but not all workers of a service carry, with these workers.
type rack struct {
	label   string
	workers []*Worker // sorted by ID
}

// racksOf returns the racks of a service.
func (pass *pass) racksOf(service string) []rack {
	pool := pass.pool(service)
	if pool.racks != nil {
		return pool.racks
	}
	byLabel := map[string][]*Worker{}
	for _, worker := range pool.workers {
		for _, label := range worker.Labels {
			byLabel[label] = append(byLabel[label], worker)
		}
	}
	pool.racks = []rack{}
	for _, label := range slices.Sorted(maps.Keys(byLabel)) {
		if len(byLabel[label]) < len(pool.workers) {
			pool.racks = append(pool.racks, rack{label, byLabel[label]})
		}
	}
	return pool.racks
}
