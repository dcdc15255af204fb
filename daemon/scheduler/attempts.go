package scheduler

import (
	"context"
	"errors"

	"ebonyshunt.org/platform/translator"
)

// attempts are the tries at one append.
type attempts struct {
	journal  *journal
	ctx      context.Context
	sequence int64
	entries  []translator.Entry
	made     int
	first    int // made at once
	underWay int
	early    bool // one came before the append that goes first, and has to be repeated
	answers  chan attempted
}

// attempted is the end of an attempt.
type attempted struct {
	number int
	err    error
}

// start makes one more attempt, unless too many are under way.
func (attempts *attempts) start() {
	if attempts.underWay >= mostUnderWay {
		return
	}
	number := attempts.made
	attempts.made++
	attempts.underWay++
	attempts.early = false
	go func() {
		attempts.answers <- attempted{number, attempts.journal.appendOnce(attempts.ctx, number, attempts.sequence, attempts.entries)}
	}()
}

// take deals with the answer to an attempt, and reports whether the append has ended with it.
func (attempts *attempts) take(answer attempted, inTurn bool) (ended bool) {
	attempts.underWay--
	err := answer.err
	var outOfTurn *translator.SequenceError
	switch {
	case err == nil:
		attempts.journal.noteLoss(answer.number >= attempts.first)
		return true
	case errors.Is(err, translator.ErrFenced):
		return true
	case errors.As(err, &outOfTurn):
		attempts.early = true
		if inTurn {
			attempts.start()
		}
	case attempts.made < bothWays:
		attempts.start()
	}
	return attempts.underWay == 0 && !attempts.early
}
