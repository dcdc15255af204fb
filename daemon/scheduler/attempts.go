package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/platform/translator"
)

// attempts tracks the attempts at one append.
type attempts struct {
	journal  *journal
	ctx      context.Context
	sequence int64
	entries  []translator.Entry
	begunAt  time.Duration // uptime of the host when the append began
	started  int
	inFlight int
	// rejectedEarly is set when the store rejects an attempt because the preceding append is not stored yet. The attempt
	// then has to be repeated.
	rejectedEarly bool
	// directInFlight is the number of attempts in flight that went directly to the store. Only these show that the store's
	// answers get lost: a peer that does not answer may itself be cut off.
	directInFlight int
	// directLost is the number of direct attempts that ended without an answer, for example since their connection broke.
	directLost int
	results    chan attemptResult
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	relayed bool // whether it went through a peer
	err     error
}

// lossGrace is how long the other attempts at a stored append may take to be answered before they count as lost: an answer
// that is only late shows that the store or this process is slow, and to repeat more appends would make both slower.
const lossGrace = 400 * time.Millisecond

// start makes one more attempt, unless maxAttemptsInFlight are in flight.
func (attempts *attempts) start() {
	if attempts.inFlight >= maxAttemptsInFlight {
		return
	}
	number := attempts.started
	attempts.started++
	attempts.inFlight++
	attempts.rejectedEarly = false
	peer, relayed := attempts.journal.route.peerFor(number)
	if !relayed {
		attempts.directInFlight++
	}
	go func() {
		err := attempts.journal.attemptAppend(attempts, peer, relayed)
		attempts.results <- attemptResult{relayed, err}
	}()
}

// record counts a result.
func (attempts *attempts) record(result attemptResult) {
	attempts.inFlight--
	if result.relayed {
		return
	}
	attempts.directInFlight--
	if errors.Is(result.err, translator.ErrOutcomeUnknown) && attempts.ctx.Err() == nil {
		attempts.directLost++
	}
}

// handleResult processes the result of an attempt, and reports whether the append has ended.
func (attempts *attempts) handleResult(result attemptResult, inOrder bool) (ended bool) {
	attempts.record(result)
	var outOfTurn *translator.SequenceError
	switch {
	case result.err == nil, errors.Is(result.err, translator.ErrFenced), errors.Is(result.err, translator.ErrRejected):
		return true
	case errors.As(result.err, &outOfTurn):
		attempts.rejectedEarly = true
		if inOrder {
			attempts.start()
		}
	case attempts.started < routeCount:
		attempts.start()
	}
	return attempts.inFlight == 0 && !attempts.rejectedEarly
}

// answerLost waits for the answers to the direct attempts in flight, for lossGrace or longer while this process is
// late, and reports whether one of them
// got no answer.
func (attempts *attempts) answerLost() bool {
	timer := time.NewTimer(lossGrace + attempts.journal.tenure.lagAllowance())
	defer timer.Stop()
	for attempts.directLost == 0 && attempts.directInFlight > 0 {
		select {
		case result := <-attempts.results:
			attempts.record(result)
		case <-timer.C:
			return true
		case <-attempts.ctx.Done():
			return false
		}
	}
	return attempts.directLost > 0
}
