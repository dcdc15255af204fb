package detector_test

import (
	"fmt"
	"time"

	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/fencer"
)

func ExampleDetector_ShouldDecide() {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	peers := detector.New("north", time.Second, 3*time.Second)
	self := detector.Peer{Name: "entry-2", Zone: "north"}
	peers.RecordHeartbeat(detector.Peer{Name: "entry-1", Zone: "north", Term: fencer.Term{Number: 1, Holder: "entry-1"}, Deciding: true, LastHeartbeat: now})
	fmt.Println(peers.ShouldDecide(self, now), peers.ShouldDecide(self, now.Add(2*time.Second)))
	// Output: false true
}
