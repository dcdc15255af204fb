package scheduler

import (
	"context"
	"sync"
	"time"

	"ebonyshunt.org/library/planner"
)

// submissions holds the replies to the latest submissions, by the ID that the entry host gave to each. A submission may
// arrive twice, because entry hosts repeat calls whose answers are late. Its second arrival has to get the same reply:
// otherwise a caller could be told that a job was refused, which the other arrival submits.
type submissions struct {
	mu    sync.Mutex
	table map[string]*submission
	order []*submission // in the order of their arrival
}

// submission is a submission that was answered or is being answered.
type submission struct {
	id        string
	arrivedAt time.Time
	done      chan struct{} // closed once reply and err are set
	reply     planner.Reply
	err       error
}

// submissionRetention is how long replies are kept, longer than an entry host repeats a call.
const submissionRetention = 2 * maxCallTime

func newSubmissions() *submissions { return &submissions{table: map[string]*submission{}} }

// answer returns the reply of a function to the first arrival of a submission, and the same reply to later ones. An error
// is not kept, since nothing was decided. Submissions without an ID, from hosts of earlier releases, are not recognized.
func (submissions *submissions) answer(ctx context.Context, id string, reply func() (planner.Reply, error)) (planner.Reply, error) {
	if id == "" {
		return reply()
	}
	entry, first := submissions.enter(id)
	if !first {
		select {
		case <-entry.done:
			return entry.reply, entry.err
		case <-ctx.Done():
			return planner.Reply{Verdict: planner.Unconfirmed, Reason: "the submission is still being answered", RetryAfter: callerRetryDelay}, nil
		}
	}
	entry.reply, entry.err = reply()
	if entry.err != nil {
		submissions.forget(entry)
	}
	close(entry.done)
	return entry.reply, entry.err
}

// enter returns the entry of a submission, and whether it arrived for the first time.
func (submissions *submissions) enter(id string) (*submission, bool) {
	submissions.mu.Lock()
	defer submissions.mu.Unlock()
	now := time.Now()
	for len(submissions.order) > 0 && now.Sub(submissions.order[0].arrivedAt) > submissionRetention {
		if oldest := submissions.order[0]; submissions.table[oldest.id] == oldest {
			delete(submissions.table, oldest.id)
		}
		submissions.order = submissions.order[1:]
	}
	if entry := submissions.table[id]; entry != nil {
		return entry, false
	}
	entry := &submission{id: id, arrivedAt: now, done: make(chan struct{})}
	submissions.table[id] = entry
	submissions.order = append(submissions.order, entry)
	return entry, true
}

func (submissions *submissions) forget(entry *submission) {
	submissions.mu.Lock()
	defer submissions.mu.Unlock()
	if submissions.table[entry.id] == entry {
		delete(submissions.table, entry.id)
	}
}
