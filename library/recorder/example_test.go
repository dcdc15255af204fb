package recorder_test

import (
	"fmt"

	"ebonyshunt.org/library/recorder"
)

func ExampleMerge() {
	entry, worker := recorder.New("entry-1", "north", 16), recorder.New("entry-2", "north", 16)
	entry.Record(recorder.Event{Kind: "requestReceived", Request: "r-1"})
	worker.Clock.Observe(entry.Clock.Now())
	worker.Record(recorder.Event{Kind: "queued", Request: "r-1"})
	entry.Clock.Observe(worker.Clock.Now())
	entry.Record(recorder.Event{Kind: "requestEnded", Request: "r-1"})
	filter := recorder.Filter{Request: "r-1"}
	for _, event := range recorder.Merge(worker.Events(filter), entry.Events(filter)) {
		fmt.Println(event.Host, event.Kind)
	}
	// Output:
	// entry-1 requestReceived
	// entry-2 queued
	// entry-1 requestEnded
}
