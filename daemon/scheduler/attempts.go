package scheduler

import (
	"context"
	"errors"

	"ebonyshunt.org/platform/translator"
)

// attempts tracks the attempts at one append.
type attempts struct {
	journal  *journal
	ctx      context.Context
	sequence int64
	entries  []translator.Entry
	started  int
	initial  int // attempts made before the first wait for a result
	inFlight int
	// rejectedEarly is set when the store rejects an attempt because the preceding append is not stored yet. The attempt
	// then has to be repeated.
	rejectedEarly bool
	results       chan attemptResult
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	number int
	err    error
}

// start makes one more attempt, unless maxAttemptsInFlight are in flight.
func (attempts *attempts) start() {
	if attempts.inFlight >= maxAttemptsInFlight {
		return
	}
	number := attempts.started
	attempts.started++
	attempts.inFlight++
	attempts.rejectedEarly = false
	go func() {
		attempts.results <- attemptResult{number, attempts.journal.attemptAppend(attempts.ctx, number, attempts.sequence, attempts.entries)}
	}()
}

// handleResult processes the result of an attempt, and reports whether the append has ended.
func (attempts *attempts) handleResult(result attemptResult, inOrder bool) (ended bool) {
	attempts.inFlight--
	err := result.err
	var outOfTurn *translator.SequenceError
	switch {
	case err == nil:
		attempts.journal.recordLoss(result.number >= attempts.initial)
		return true
	case errors.Is(err, translator.ErrFenced):
		return true
	case errors.As(err, &outOfTurn):
		attempts.rejectedEarly = true
		if inOrder {
			attempts.start()
		}
	case attempts.started < routeCount:
		attempts.start()
	}
	return attempts.inFlight == 0 && !attempts.rejectedEarly
}
