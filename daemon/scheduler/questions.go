package scheduler

import (
	"context"
	"sync"
	"time"

	"ebonyshunt.org/library/planner"
)

// questions spreads questions to the policy service over the hosts, since it serves one at a time for each
// calling host.
type questions struct {
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

func newQuestions(tenure *tenure) *questions {
	return &questions{tenure: tenure, backlog: map[string]time.Duration{}, barred: map[string]bar{}}
}

const (
	askSlack   = 1500 * time.Millisecond // beyond what the answers of a host's open questions cost
	shortHosts = 3                       // a host in so many is kept for short questions
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
func (questions *questions) ask(ask planner.Ask) {
	tenure := questions.tenure
	member := questions.pick(ask.Class)
	backlog := questions.add(member.Name, ask.Costs)
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
	questions.add(member.Name, -ask.Costs)
	if tenure.ctx.Err() != nil {
		return
	}
	tenure.host.log.Info("policy", "step", ask.Step.String(), "through", member.Name, "workers", len(ask.Workers),
		"allowed", len(answer.Allowed), "backlog", backlog.String(), "took", time.Since(began).String())
	questions.judge(member.Name, err == nil)
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
func (questions *questions) judge(name string, answered bool) {
	questions.mu.Lock()
	defer questions.mu.Unlock()
	if answered {
		delete(questions.barred, name)
		return
	}
	length := min(max(firstBar, 2*questions.barred[name].length), longestBar)
	questions.barred[name] = bar{until: time.Now().Add(length), length: length}
}

func (questions *questions) add(name string, costs time.Duration) time.Duration {
	questions.mu.Lock()
	defer questions.mu.Unlock()
	questions.backlog[name] += costs
	return questions.backlog[name]
}

// members returns the hosts that questions may go through.
func (questions *questions) members() []Member {
	own := questions.tenure.host.member()
	members := []Member{own}
	now := time.Now()
	questions.mu.Lock()
	defer questions.mu.Unlock()
	for _, member := range questions.tenure.host.fleet.others(own.Name) {
		if now.After(questions.barred[member.Name].until) {
			members = append(members, member)
		}
	}
	return members
}

// short reports whether the host at a place among the members is kept for short questions.
func short(index, count int) bool { return index%shortHosts == 0 && count >= shortHosts }

// slots returns how many questions may be open at once.
func (questions *questions) slots() planner.Slots {
	var slots planner.Slots
	count := len(questions.members())
	for index := range count {
		if short(index, count) {
			slots.Short++
		} else {
			slots.Long++
		}
	}
	slots.Short = max(slots.Short, 1)
	return slots
}

// pick returns the host with the least backlog; one host in some takes only short questions.
func (questions *questions) pick(class time.Duration) Member {
	members := questions.members()
	questions.mu.Lock()
	defer questions.mu.Unlock()
	best := -1
	for index, member := range members {
		if class > planner.ShortQuestion && short(index, len(members)) {
			continue
		}
		if best < 0 || questions.backlog[member.Name] < questions.backlog[members[best].Name] {
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
