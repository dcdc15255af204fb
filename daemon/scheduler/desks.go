package scheduler

import (
	"context"
	"sync"
	"time"

	"ebonyshunt.org/library/planner"
)

// desks spreads questions to the policy service over the hosts, since it serves one at a time for each
// calling host.
type desks struct {
	tenure *tenure

	mu      sync.Mutex
	backlog map[string]time.Duration // of the questions that are open, by host
}

func newDesks(tenure *tenure) *desks {
	return &desks{tenure: tenure, backlog: map[string]time.Duration{}}
}

const (
	askSlack   = 1500 * time.Millisecond // beyond what the answers of a host's open questions cost
	shortAsk   = 100 * time.Millisecond  // up to which a question counts as short
	shortDesks = 3                       // a host in so many is kept for short questions
)

// Question is a question that another host puts to the policy service.
type Question struct {
	Step    planner.StepKey `json:"step"`
	Workers []string        `json:"workers"`
}

// QuestionAnswer is what the policy service said.
type QuestionAnswer struct {
	Allowed []planner.Allowance `json:"allowed"`
}

// ask puts a question through the host that is free first.
func (desks *desks) ask(ask planner.Ask) {
	tenure := desks.tenure
	member := desks.pick(ask.Costs)
	backlog := desks.add(member.Name, ask.Costs)
	ctx, cancel := context.WithTimeout(tenure.ctx, backlog+askSlack)
	defer cancel()
	var answer QuestionAnswer
	var err error
	if member.Name == tenure.host.settings.Host {
		answer, err = tenure.host.askPolicy(ctx, Question{Step: ask.Step, Workers: ask.Workers})
	} else {
		err = tenure.host.pool.Call(ctx, member.Address, methodQuestion, Question{Step: ask.Step, Workers: ask.Workers}, &answer)
	}
	desks.add(member.Name, -ask.Costs)
	if tenure.ctx.Err() != nil {
		return
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if err != nil {
		tenure.host.log.Warn("policy does not answer", "job", ask.Step.Job, "step", ask.Step.Step, "through", member.Name, "error", err)
		desks.penalize(member.Name)
		tenure.planner.Unadvised(ask, time.Now())
	} else {
		tenure.planner.Advised(ask, answer.Allowed, time.Now())
	}
	tenure.kick()
}

// penalty is added for a while to the backlog of a host that did not answer.
const penalty = 2 * time.Second

func (desks *desks) penalize(name string) {
	desks.add(name, penalty)
	time.AfterFunc(penalty, func() { desks.add(name, -penalty) })
}

func (desks *desks) add(name string, costs time.Duration) time.Duration {
	desks.mu.Lock()
	defer desks.mu.Unlock()
	desks.backlog[name] += costs
	return desks.backlog[name]
}

// pick returns the host with the least backlog; one host in some takes only short questions.
func (desks *desks) pick(costs time.Duration) Member {
	own := desks.tenure.host.member()
	members := append([]Member{own}, desks.tenure.host.fleet.others(own.Name)...)
	desks.mu.Lock()
	defer desks.mu.Unlock()
	best := -1
	for index, member := range members {
		if costs > shortAsk && index%shortDesks == 0 && len(members) >= shortDesks {
			continue
		}
		if best < 0 || desks.backlog[member.Name] < desks.backlog[members[best].Name] {
			best = index
		}
	}
	return members[best]
}

// askPolicy puts a question to the policy service.
func (host *Host) askPolicy(ctx context.Context, question Question) (QuestionAnswer, error) {
	allowed, err := host.orders.Advise(ctx, host.settings.PolicyAddress, planner.Ask{Step: question.Step, Workers: question.Workers})
	return QuestionAnswer{Allowed: allowed}, err
}
