package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/library/retrier"
)

// hedgedCaller makes idempotent calls to peers, and repeats a call over a second connection if its answer is late: a lost
// packet stops all traffic of a connection until it is sent again, which takes longer than most calls (see Dean and
// Barroso, "The Tail at Scale", 2013, on hedged requests).
type hedgedCaller struct {
	host   *Host
	pool   *linker.Pool // the second connections
	budget *retrier.Budget

	mu          sync.Mutex
	answerTimes map[string]*average  // average time until an answer by method, in nanoseconds
	stalls      map[string]time.Time // until when the first connection to an address is assumed to be stalled
}

const (
	// minCallHedgeDelay and maxCallHedgeDelay bound the time without an answer after which a call is repeated. The upper bound
	// is below the 200 ms after which TCP sends a lost packet again at the earliest.
	minCallHedgeDelay = 25 * time.Millisecond
	maxCallHedgeDelay = 150 * time.Millisecond
	// callHedgeRatio is the maximum share of the calls of a method that are repeated, so that slow peers get no more load.
	callHedgeRatio = 0.1
	// callHedgeBurst is the number of calls that may be repeated in a row.
	callHedgeBurst = 20
	// stallTime is how long calls begin on the second connection after an answer on it came first: all that is sent on a
	// stalled connection is late.
	stallTime = 200 * time.Millisecond
	// callAverageDivisor is the inverse of the weight of the latest call in the average answer times.
	callAverageDivisor = 16
)

func newHedgedCaller(host *Host) *hedgedCaller {
	pool := linker.NewPool(host.peerNetwork, host.settings.Host, host.clock)
	pool.Allowance = host.linkAllowance
	return &hedgedCaller{
		host: host, pool: pool,
		budget: retrier.NewBudget(callHedgeRatio, callHedgeBurst), answerTimes: map[string]*average{},
		stalls: map[string]time.Time{},
	}
}

// attemptAnswer is the result of one attempt at a call.
type attemptAnswer struct {
	pool *linker.Pool
	body json.RawMessage
	err  error
}

// call makes a call and decodes its answer into result, unless that is nil. The peer is expected to take serviceTime before
// it answers. The error is of class linker.ErrUnsent only if no attempt reached the peer.
func (hedgedCaller *hedgedCaller) call(ctx context.Context, address, method string, body, result any, serviceTime time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedgedCaller.budget.RecordFirstAttempt(method)
	answers := make(chan attemptAnswer, 2)
	startedAt := time.Now()
	attempt := func(pool *linker.Pool) {
		answer := attemptAnswer{pool: pool}
		answer.err = pool.Call(ctx, address, method, body, &answer.body)
		if isBusy(answer.err) { // another attempt at the same call may have been carried out
			answer.err = linker.ErrUnsent.Wrap(answer.err)
		}
		answers <- answer
	}
	first, second := hedgedCaller.order(address)
	go attempt(first)
	timer := time.NewTimer(serviceTime + hedgedCaller.delay(method))
	defer timer.Stop()
	var failed error
	for pending := 1; ; {
		select {
		case answer := <-answers:
			if answer.err == nil {
				hedgedCaller.recordTime(method, time.Since(startedAt)-serviceTime)
				hedgedCaller.recordOrder(address, pending > 1 && answer.pool == hedgedCaller.pool)
				return decodeAnswer(method, answer.body, result)
			}
			if failed == nil || linker.ErrUnsent.Has(failed) {
				failed = answer.err
			}
			if pending--; pending == 0 {
				return failed
			}
		case <-timer.C:
			if hedgedCaller.budget.Retry(method) {
				hedgedCaller.host.metrics.hedgedCalls.WithLabelValues(method).Inc()
				pending++
				go attempt(second)
			}
		}
	}
}

// isBusy reports whether a call failed because the peer had no memory for it.
func isBusy(err error) bool {
	text, refused := linker.RemoteError(err)
	return refused && text == errBusy.Error()
}

func decodeAnswer(method string, body json.RawMessage, result any) error {
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("decode answer of %s: %w", method, err)
	}
	return nil
}

// order returns the pools for the first and the second attempt at a call to an address.
func (hedgedCaller *hedgedCaller) order(address string) (first, second *linker.Pool) {
	hedgedCaller.mu.Lock()
	defer hedgedCaller.mu.Unlock()
	if time.Now().Before(hedgedCaller.stalls[address]) {
		return hedgedCaller.pool, hedgedCaller.host.peerPool
	}
	return hedgedCaller.host.peerPool, hedgedCaller.pool
}

// recordOrder records whether an answer on the second connection overtook a call on the first one.
func (hedgedCaller *hedgedCaller) recordOrder(address string, overtaken bool) {
	if !overtaken {
		return
	}
	hedgedCaller.mu.Lock()
	defer hedgedCaller.mu.Unlock()
	hedgedCaller.stalls[address] = time.Now().Add(stallTime)
}

// delay returns the time beyond the service time after which a call of a method is repeated.
func (hedgedCaller *hedgedCaller) delay(method string) time.Duration {
	usual := time.Duration(hedgedCaller.answerTime(method).value.Load())
	return min(max(hedgeDelayFactor*usual, minCallHedgeDelay), maxCallHedgeDelay)
}

func (hedgedCaller *hedgedCaller) recordTime(method string, took time.Duration) {
	hedgedCaller.answerTime(method).add(int64(max(took, 0)))
}

func (hedgedCaller *hedgedCaller) answerTime(method string) *average {
	hedgedCaller.mu.Lock()
	defer hedgedCaller.mu.Unlock()
	found := hedgedCaller.answerTimes[method]
	if found == nil {
		found = &average{divisor: callAverageDivisor}
		hedgedCaller.answerTimes[method] = found
	}
	return found
}

// close closes the second connections.
func (hedgedCaller *hedgedCaller) close() { hedgedCaller.pool.Close() }
