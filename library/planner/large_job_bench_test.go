package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// BenchmarkLargeJob measures what a change of one task, and a takeover, cost in a job of many tasks of which 10,000 run at most.
func BenchmarkLargeJob(b *testing.B) {
	for _, tasks := range []int{1000, 5000, 20_000, 100_000} {
		fleet := newFleet(b, testStart, 20)
		fleet.submit(jobA, smallTasks(tasks))
		fleet.settle()
		records := make([]planner.Record, 0, len(fleet.journal))
		size := 0
		for key, value := range fleet.journal {
			records = append(records, planner.Record{Key: key, Value: value})
			size += len(key) + len(value)
		}
		b.Run(fmt.Sprintf("change/%d", tasks), func(b *testing.B) {
			bytes := 0
			for number := range b.N {
				index := number % min(tasks, 10_000)
				fleet.markEnded(planner.TaskKey{Job: jobA, Index: index}, planner.EndedStopped)
				fleet.now = fleet.now.Add(time.Millisecond)
				fleet.sendPolls()
				batch, err := fleet.planner.Take()
				if err != nil {
					b.Fatal(err)
				}
				for _, record := range batch.Records {
					bytes += len(record.Key) + len(record.Value)
				}
				fleet.store(batch)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "stored-B/op")
		})
		b.Run(fmt.Sprintf("restore/%d", tasks), func(b *testing.B) {
			for range b.N {
				restored := planner.New(fleet.settings(), 9, testCatalog(), fleet.time())
				restored.Restore(records, fleet.time())
			}
			b.ReportMetric(float64(size), "journal-B")
			b.ReportMetric(float64(len(records)), "records")
		})
	}
}
