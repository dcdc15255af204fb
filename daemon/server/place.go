package server

import (
	"context"
	"net/http"
	"time"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/viewer"
)

// spillWait is the expected wait above which another zone is asked first.
const spillWait = time.Second

func (server *Server) record(kind string, work decider.Work, task, worker, detail string) {
	server.Timeline.Record(recorder.Event{Kind: kind, Request: work.ID, Task: task, Worker: worker, Team: work.Team, Detail: detail})
}

func deadlinePassed() *responder.Problem {
	return responder.Refuse(http.StatusGatewayTimeout, responder.CodeDeadline, "the deadline for the start passed in the queue")
}

// place queues a work and waits for its grant.
func (tenure *tenure) place(ctx context.Context, call PlaceCall) (PlaceAnswer, error) {
	waiter, answer := tenure.await(call)
	if waiter == nil {
		return answer, nil
	}
	select {
	case answer := <-waiter:
		return answer, nil
	case <-ctx.Done():
		tenure.forsake(call.Work.ID, waiter)
		return PlaceAnswer{}, errNotDeciding
	case <-tenure.ctx.Done():
		return PlaceAnswer{}, errNotDeciding
	}
}

// await enqueues a work and returns the channel for its answer, or the answer where there is one now.
func (tenure *tenure) await(call PlaceCall) (chan PlaceAnswer, PlaceAnswer) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	task, known := tenure.decider.Lookup(call.Work.ID)
	if known && task.State != decider.Queued {
		return nil, PlaceAnswer{Grant: &task.Grant, Attempt: task.Attempt}
	}
	if !known {
		if problem, spill := tenure.refuse(call, now); problem != nil {
			return nil, PlaceAnswer{Problem: problem, Spill: spill}
		}
		tenure.decider.Enqueue(call.Work, now)
		tenure.server.record("queued", call.Work, "", "", "")
	}
	waiter := make(chan PlaceAnswer, 1)
	tenure.waiters[call.Work.ID] = waiter
	tenure.poke()
	return waiter, PlaceAnswer{}
}

// forsake drops a queued work whose caller went away, unless it asked again meanwhile.
func (tenure *tenure) forsake(work string, waiter chan PlaceAnswer) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.waiters[work] == waiter {
		delete(tenure.waiters, work)
		tenure.decider.Cancel(work)
	}
}

// refuse returns the problem of a work that cannot be queued, and whether another zone may take it.
func (tenure *tenure) refuse(call PlaceCall, now time.Time) (*responder.Problem, bool) {
	work := call.Work
	view := tenure.server.viewer.View()
	if _, found := view.Services[work.Service]; !found {
		return responder.Refuse(http.StatusNotFound, responder.CodeNoService, "service %q is not configured", work.Service), false
	}
	if reason := tenure.decider.NeverFits(work); reason != "" {
		return responder.Refuse(http.StatusUnprocessableEntity, responder.CodeNeverFits, "zone %s: %s", tenure.zone, reason), true
	}
	wait, known := tenure.decider.ExpectedWait(work.Service, work.Class, now)
	if call.Spill && (!known || wait > spillWait) {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "zone %s is full", tenure.zone).After(wait), true
	}
	if queue, found := view.Queues[work.Queue]; found && tenure.decider.QueueLength(work.Queue) >= queue.MaxQueued {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded,
			"queue %s holds its maxQueued of %d", work.Queue, queue.MaxQueued).After(max(wait, time.Second)), false
	}
	if known && !work.Deadline.IsZero() && now.Add(wait).After(work.Deadline) {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded,
			"expected wait of %s ends after the deadline", wait.Round(time.Millisecond)).After(wait), false
	}
	return nil, false
}

// withdraw drops a queued work, or stops a started one.
func (tenure *tenure) withdraw(call WorkCall) (struct{}, error) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	delete(tenure.waiters, call.Work)
	tenure.decider.Cancel(call.Work)
	tenure.poke()
	return struct{}{}, nil
}

// finish takes an entry host's word of an attempt.
func (tenure *tenure) finish(call FinishCall) (struct{}, error) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if call.Ending != "" {
		tenure.decider.Completed(call.Task, call.Ending, call.Status, time.Now())
	} else if worker, found := tenure.decider.WorkerOf(call.Task); found {
		tenure.probe(worker)
	}
	tenure.poke()
	return struct{}{}, nil
}

// resolve waits until the worker's reports settle an attempt.
func (tenure *tenure) resolve(ctx context.Context, call ResolveCall) (ResolveAnswer, error) {
	settled, answer := tenure.resolving(call)
	if settled == nil {
		return answer, nil
	}
	timer := time.NewTimer(resolveWait)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	case <-ctx.Done():
	case <-tenure.ctx.Done():
		return ResolveAnswer{}, errNotDeciding
	}
	_, answer = tenure.resolving(call)
	return answer, nil
}

func (tenure *tenure) resolving(call ResolveCall) (chan struct{}, ResolveAnswer) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	task, known := tenure.decider.Lookup(call.Work)
	if known && (call.Task == "" || task.Grant.Task == call.Task) && task.State != decider.Queued {
		settled := make(chan struct{})
		tenure.resolvers[task.Grant.Task] = append(tenure.resolvers[task.Grant.Task], settled)
		tenure.probe(task.Grant.Worker)
		return settled, ResolveAnswer{Known: true, Pending: true}
	}
	if known {
		return nil, ResolveAnswer{Known: true, Pending: true}
	}
	end, found := tenure.recent[call.Work]
	if !found || (call.Task != "" && end.task != call.Task) {
		return nil, ResolveAnswer{}
	}
	return nil, ResolveAnswer{Known: true, Ending: end.ending}
}

// teamInfos returns the teams with what the zone may run of each.
func (tenure *tenure) teamInfos(view *viewer.View) []decider.TeamInfo {
	var infos []decider.TeamInfo
	exact := tenure.server.register.Tenure(tenure.zone).Term == tenure.term
	for name, team := range view.Teams {
		infos = append(infos, decider.TeamInfo{
			Name:  name,
			Share: team.Share,
			Slice: tenure.slice(name, exact, len(view.Fleet.Zones)),
			Caps:  team.Limit,
		})
	}
	return infos
}

func serviceInfos(view *viewer.View) []decider.ServiceInfo {
	var infos []decider.ServiceInfo
	for name, service := range view.Services {
		infos = append(infos, decider.ServiceInfo{
			Name:      name,
			Placement: placements[service.Placement],
			RunTime:   service.RunTime,
			Serves:    service.Serves,
		})
	}
	return infos
}

var placements = map[string]decider.Placement{
	parser.PlacePack:   decider.Pack,
	parser.PlaceSpread: decider.Spread,
	parser.PlaceFast:   decider.Fast,
}
