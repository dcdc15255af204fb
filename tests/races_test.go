package tests

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"ebonyshunt.org/demo/builder"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
)

// TestRaces sends requests and jobs through a cell on loopback while a host is killed and restarted. It is meant for
// the race detector; no check depends on timing.
func TestRaces(t *testing.T) {
	plan := builder.Plan{RootKey: rootKey}
	for _, name := range zoneNames {
		plan.Zones = append(plan.Zones, builder.Zone{Name: name, Hosts: 2, Workers: []builder.Group{
			{Prefix: "w", Count: 2, Capacity: sizer.Size{MilliCores: 4000, MemoryMB: 8192}},
		}})
	}
	cell, err := builder.Build(plan)
	if err != nil {
		t.Fatal(err)
	}
	harness := &harness{T: t, Cell: cell, client: cell.Client(), ctx: t.Context()}
	t.Cleanup(func() {
		harness.client.CloseIdleConnections()
		_ = cell.Close()
	})
	if err := cell.Publish(harness.ctx, cell.Names[0], baseDocument(zoneNames)); err != nil {
		t.Fatal(err)
	}
	for _, name := range cell.Names {
		if err := cell.WaitReady(harness.ctx, name); err != nil {
			t.Fatal(err)
		}
	}
	var wait sync.WaitGroup
	for caller := range callerCount {
		wait.Go(func() { harness.sendRepeatedRequests(cell.Names[2+caller%4], caller) })
	}
	cell.KillHost("entry-a-0")
	if err := cell.StartHost("entry-a-0"); err != nil {
		t.Error(err)
	}
	wait.Wait()
	for name, worker := range cell.Workers {
		if worker.Overcommitted() {
			t.Errorf("worker %s was overcommitted", name)
		}
	}
}

func (harness *harness) sendRepeatedRequests(host string, caller int) {
	for number := range 20 {
		name := fmt.Sprintf("race%d-%d", caller, number)
		answer := harness.post(host, "?workMS=5", "Idempotency-Key", name)
		again := harness.post(host, "?workMS=5", "Idempotency-Key", name)
		if answer.outcome == responder.Answered && again.outcome == responder.Answered && string(answer.body) != string(again.body) {
			harness.Errorf("%s: two answers to one idempotency key: %s and %s", name, answer.body, again.body)
		}
		harness.send(harness.ctx, host, http.MethodPost, "/v1/jobs", teamKey, []byte(`{"service":"work","tasks":[{"target":"?workMS=5"}]}`))
	}
}
