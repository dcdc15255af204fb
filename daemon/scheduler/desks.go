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
	barred  map[string]bar           // hosts that did not answer
}

// bar keeps questions from a host for a while.
type bar struct {
	until  time.Time
	length time.Duration
}

func newDesks(tenure *tenure) *desks {
	return &desks{tenure: tenure, backlog: map[string]time.Duration{}, barred: map[string]bar{}}
}

const (
	askSlack   = 1500 * time.Millisecond // beyond what the answers of a host's open questions cost
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
	member := desks.pick(ask.Class)
	backlog := desks.add(member.Name, ask.Costs)
	ctx, cancel := context.WithTimeout(tenure.ctx, backlog+askSlack)
	defer cancel()
	var answer QuestionAnswer
	var err error
	began := time.Now()
	if member.Name == tenure.host.settings.Host {
		answer, err = tenure.host.askPolicy(ctx, Question{Step: ask.Step, Workers: ask.Workers})
	} else {
		err = tenure.host.pool.Call(ctx, member.Address, methodQuestion, Question{Step: ask.Step, Workers: ask.Workers}, &answer)
	}
	desks.add(member.Name, -ask.Costs)
	if tenure.ctx.Err() != nil {
		return
	}
	tenure.host.log.Info("policy", "step", ask.Step.String(), "through", member.Name, "workers", len(ask.Workers),
		"allowed", len(answer.Allowed), "backlog", backlog.String(), "took", time.Since(began).String())
	desks.judge(member.Name, err == nil)
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if err != nil {
		tenure.host.log.Warn("policy does not answer", "job", ask.Step.Job, "step", ask.Step.Step, "through", member.Name, "error", err)
		tenure.planner.Unadvised(ask, time.Now())
	} else {
		tenure.planner.Advised(ask, answer.Allowed, time.Now())
	}
	tenure.kick()
}

const (
	firstBar   = time.Second
	longestBar = 8 * time.Second
)

// judge bars a host that did not answer, for longer each time.
func (desks *desks) judge(name string, answered bool) {
	desks.mu.Lock()
	defer desks.mu.Unlock()
	if answered {
		delete(desks.barred, name)
		return
	}
	length := min(max(firstBar, 2*desks.barred[name].length), longestBar)
	desks.barred[name] = bar{until: time.Now().Add(length), length: length}
}

func (desks *desks) add(name string, costs time.Duration) time.Duration {
	desks.mu.Lock()
	defer desks.mu.Unlock()
	desks.backlog[name] += costs
	return desks.backlog[name]
}

// members returns the hosts that questions may go through.
func (desks *desks) members() []Member {
	own := desks.tenure.host.member()
	members := []Member{own}
	now := time.Now()
	desks.mu.Lock()
	defer desks.mu.Unlock()
	for _, member := range desks.tenure.host.fleet.others(own.Name) {
		if now.After(desks.barred[member.Name].until) {
			members = append(members, member)
		}
	}
	return members
}

// short reports whether the host at a place among the members is kept for short questions.
func short(index, count int) bool { return index%shortDesks == 0 && count >= shortDesks }

// lines returns how many questions may be open at once.
func (desks *desks) lines() planner.Lines {
	var lines planner.Lines
	count := len(desks.members())
	for index := range count {
		if short(index, count) {
			lines.Short++
		} else {
			lines.Long++
		}
	}
	lines.Short = max(lines.Short, 1)
	return lines
}

// pick returns the host with the least backlog; one host in some takes only short questions.
func (desks *desks) pick(class time.Duration) Member {
	members := desks.members()
	desks.mu.Lock()
	defer desks.mu.Unlock()
	best := -1
	for index, member := range members {
		if class > planner.ShortQuestion && short(index, len(members)) {
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
