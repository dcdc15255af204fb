package server

import (
	"context"
	"net/http"
	"slices"
	"time"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/viewer"
)

// spillThreshold is the expected wait in the queue above which other zones are tried first.
const spillThreshold = time.Second

func (server *Server) recordEvent(kind string, work decider.Work, task, worker, detail string) {
	server.Timeline.Record(recorder.Event{Kind: kind, Request: work.ID, Task: task, Worker: worker, Team: work.Team, Detail: detail})
}

func deadlineProblem() *responder.Problem {
	return responder.Refuse(http.StatusGatewayTimeout, responder.CodeDeadline, "the start deadline passed while the request was queued")
}

// place queues a work item and waits for its grant. When ctx ends first, the queued item is canceled.
func (tenure *tenure) place(ctx context.Context, call PlaceCall) (PlaceAnswer, error) {
	waiter, answer := tenure.enqueue(call)
	if waiter == nil {
		return answer, nil
	}
	select {
	case answer := <-waiter:
		return answer, nil
	case <-ctx.Done():
		tenure.cancelAbandoned(call.Work.ID, waiter)
		return PlaceAnswer{}, errNotDeciding
	case <-tenure.ctx.Done():
		return PlaceAnswer{}, errNotDeciding
	}
}

// enqueue queues a work item and returns the channel on which its answer comes. It returns a nil channel and the
// answer if the item is already granted or cannot be queued.
func (tenure *tenure) enqueue(call PlaceCall) (chan PlaceAnswer, PlaceAnswer) {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	task, known := tenure.decider.Lookup(call.Work.ID)
	if known && task.State != decider.Queued {
		return nil, PlaceAnswer{Grant: &task.Grant, Attempt: task.Attempt}
	}
	if !known {
		if problem, spill := tenure.admissionProblem(call, now); problem != nil {
			return nil, PlaceAnswer{Problem: problem, Spill: spill}
		}
		tenure.decider.Enqueue(call.Work, now)
		tenure.server.recordEvent("queued", call.Work, "", "", "")
	}
	waiter := make(chan PlaceAnswer, 1)
	tenure.placeWaiters[call.Work.ID] = waiter
	tenure.requestTick()
	return waiter, PlaceAnswer{}
}

// cancelAbandoned cancels a queued work item whose call has ended, unless a later call for the same item waits.
func (tenure *tenure) cancelAbandoned(work string, waiter chan PlaceAnswer) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.placeWaiters[work] == waiter {
		delete(tenure.placeWaiters, work)
		tenure.decider.Cancel(work)
	}
}

// admissionProblem returns why a work item cannot be queued, or nil, and whether another zone may take it.
func (tenure *tenure) admissionProblem(call PlaceCall, now time.Time) (*responder.Problem, bool) {
	work := call.Work
	view := tenure.server.viewer.View()
	if _, found := view.Services[work.Service]; !found {
		return responder.Refuse(http.StatusNotFound, responder.CodeNoService, "service %q is not configured", work.Service), false
	}
	if reason := tenure.decider.UnplaceableReason(work); reason != "" {
		return responder.Refuse(http.StatusUnprocessableEntity, responder.CodeNeverFits, "zone %s: %s", tenure.zone, reason), true
	}
	wait, known := tenure.decider.ExpectedWait(work.Service, work.Class, now)
	if call.Spill && (!known || wait > spillThreshold) {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "zone %s is full", tenure.zone).WithRetryAfter(wait), true
	}
	if queue, found := view.Queues[work.Queue]; found && tenure.decider.QueueLength(work.Queue) >= queue.MaxQueued {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded,
			"queue %s is full: it holds its maxQueued of %d", work.Queue, queue.MaxQueued).WithRetryAfter(max(wait, time.Second)), false
	}
	if known && !work.Deadline.IsZero() && now.Add(wait).After(work.Deadline) {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded,
			"expected wait of %s ends after the deadline", wait.Round(time.Millisecond)).WithRetryAfter(wait), false
	}
	return nil, false
}

// withdraw cancels a queued work item, or stops a started one.
func (tenure *tenure) withdraw(call WorkCall) (struct{}, error) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	delete(tenure.placeWaiters, call.Work)
	tenure.decider.Cancel(call.Work)
	tenure.requestTick()
	return struct{}{}, nil
}

// finish records how an attempt ended, as observed by its entry host. Without an ending it expedites the claim of
// the worker, whose report contains the end.
func (tenure *tenure) finish(call FinishCall) (struct{}, error) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if call.Ending != "" {
		tenure.decider.EndAttempt(call.Task, call.Ending, call.Status, time.Now())
	} else if worker, found := tenure.decider.WorkerOf(call.Task); found {
		tenure.expediteClaim(worker)
	}
	tenure.requestTick()
	return struct{}{}, nil
}

// resolve returns how an attempt ended. For a task that is not known to have ended it waits up to resolveTimeout
// for the worker's report.
func (tenure *tenure) resolve(ctx context.Context, call ResolveCall) (ResolveAnswer, error) {
	ended, answer := tenure.currentResolution(call)
	if ended == nil {
		return answer, nil
	}
	timer := time.NewTimer(resolveTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	case <-tenure.ctx.Done():
		return ResolveAnswer{}, errNotDeciding
	}
	tenure.removeEndWaiter(ended)
	waiter, answer := tenure.currentResolution(call)
	tenure.removeEndWaiter(waiter)
	return answer, nil
}

// removeEndWaiter removes a channel of currentResolution that nothing waits for any more.
func (tenure *tenure) removeEndWaiter(ended chan struct{}) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for task, waiters := range tenure.endWaiters {
		waiters = slices.DeleteFunc(waiters, func(waiter chan struct{}) bool { return waiter == ended })
		if len(waiters) == 0 {
			delete(tenure.endWaiters, task)
		} else {
			tenure.endWaiters[task] = waiters
		}
	}
}

// currentResolution returns what is known of the end of an attempt. For a started task it also expedites the
// claim of the worker and returns a channel that is closed at the end of the task.
func (tenure *tenure) currentResolution(call ResolveCall) (chan struct{}, ResolveAnswer) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	task, known := tenure.decider.Lookup(call.Work)
	if known && (call.Task == "" || task.Grant.Task == call.Task) && task.State != decider.Queued {
		ended := make(chan struct{})
		tenure.endWaiters[task.Grant.Task] = append(tenure.endWaiters[task.Grant.Task], ended)
		tenure.expediteClaim(task.Grant.Worker)
		return ended, ResolveAnswer{Known: true, Pending: true}
	}
	if known {
		return nil, ResolveAnswer{Known: true, Pending: true}
	}
	end, found := tenure.recentEnds[call.Work]
	if !found || (call.Task != "" && end.task != call.Task) {
		return nil, ResolveAnswer{}
	}
	return nil, ResolveAnswer{Known: true, Ending: end.ending}
}

// teamInfos returns the teams with the slice of the limit that the zone may use for each.
func (tenure *tenure) teamInfos(view *viewer.View) []decider.TeamInfo {
	var infos []decider.TeamInfo
	exact := tenure.server.register.Tenure(tenure.zone).Term == tenure.term
	for name, team := range view.Teams {
		infos = append(infos, decider.TeamInfo{
			Name:  name,
			Share: team.Share,
			Slice: tenure.teamSlice(name, exact, len(view.Fleet.Zones)),
			Limit: team.Limit,
		})
	}
	return infos
}

func serviceInfos(view *viewer.View) []decider.ServiceInfo {
	var infos []decider.ServiceInfo
	for name, service := range view.Services {
		infos = append(infos, decider.ServiceInfo{
			Name:      name,
			Placement: placementByName[service.Placement],
			RunTime:   service.RunTime,
			Serves:    service.Serves,
		})
	}
	return infos
}

var placementByName = map[string]decider.Placement{
	parser.PlacePack:   decider.Pack,
	parser.PlaceSpread: decider.Spread,
	parser.PlaceFast:   decider.Fast,
}
