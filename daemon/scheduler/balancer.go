package scheduler

import (
	"context"
	"sync"
	"time"

	"ebonyshunt.org/library/planner"
)

// balancer distributes queries to the policy service over the hosts, because the service processes one query at a
// time for each calling host.
type balancer struct {
	tenure *tenure

	mu       sync.Mutex
	backlog  map[string]time.Duration // expected time for the open queries, by host
	backoffs map[string]backoff       // of hosts that did not answer, by host
}

// backoff is the time in which a host is not used after it did not answer.
type backoff struct {
	until  time.Time
	length time.Duration
}

func newBalancer(tenure *tenure) *balancer {
	return &balancer{tenure: tenure, backlog: map[string]time.Duration{}, backoffs: map[string]backoff{}}
}

const (
	// queryTimeoutSlack is added to the expected time for a host's open queries to give the time-out of a query.
	queryTimeoutSlack = 1500 * time.Millisecond
	// hostsPerShortHost is the number of hosts of which one is reserved for short queries.
	hostsPerShortHost = 3
)

// PolicyQuery asks which of the workers may run a step. A host sends it to the policy service for the decider.
type PolicyQuery struct {
	Step    planner.StepKey `json:"step"`
	Workers []string        `json:"workers"`
}

// PolicyAnswer is the answer of the policy service to a PolicyQuery.
type PolicyAnswer struct {
	Allowed []planner.Allowance `json:"allowed"`
}

// send sends a query through the host with the least backlog and passes the answer to the planner.
func (balancer *balancer) send(query planner.PolicyQuery) {
	tenure := balancer.tenure
	member := balancer.pickHost(query.MaxAnswerTime)
	backlog := balancer.addBacklog(member.Name, query.AnswerTime)
	ctx, cancel := context.WithTimeout(tenure.ctx, backlog+queryTimeoutSlack)
	defer cancel()
	var answer PolicyAnswer
	var err error
	startedAt := time.Now()
	if member.Name == tenure.host.settings.Host {
		answer, err = tenure.host.queryPolicy(ctx, PolicyQuery{Step: query.Step, Workers: query.Workers})
	} else {
		err = tenure.host.hedgedCaller.call(ctx, member.Address, methodPolicyQuery, PolicyQuery{Step: query.Step, Workers: query.Workers}, &answer, backlog)
	}
	balancer.addBacklog(member.Name, -query.AnswerTime)
	if tenure.ctx.Err() != nil {
		return
	}
	tenure.host.log.Info("policy", "step", query.Step.String(), "through", member.Name, "workers", len(query.Workers),
		"allowed", len(answer.Allowed), "backlog", backlog.String(), "took", time.Since(startedAt).String())
	balancer.recordResult(member.Name, err == nil)
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if err != nil {
		tenure.host.log.Warn("policy query failed", "job", query.Step.Job, "step", query.Step.Step, "through", member.Name, "error", err)
		tenure.planner.HandlePolicyFailure(query, time.Now())
	} else {
		tenure.planner.HandlePolicyAnswer(query, answer.Allowed, time.Now())
	}
	tenure.requestPlan()
}

const (
	minHostBackoff = time.Second
	maxHostBackoff = 8 * time.Second
)

// recordResult records whether a host answered. Each time it does not, its backoff doubles, up to maxHostBackoff.
func (balancer *balancer) recordResult(name string, answered bool) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	if answered {
		delete(balancer.backoffs, name)
		return
	}
	backoff := balancer.backoffs[name]
	backoff.extend(time.Now())
	balancer.backoffs[name] = backoff
}

// extend begins a backoff, which lasts twice as long as the one before.
func (backoff *backoff) extend(now time.Time) {
	backoff.length = min(max(minHostBackoff, 2*backoff.length), maxHostBackoff)
	backoff.until = now.Add(backoff.length)
}

func (balancer *balancer) addBacklog(name string, delta time.Duration) time.Duration {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.backlog[name] += delta
	return balancer.backlog[name]
}

// usableHosts returns this host and the peers that are not in backoff and sent a heartbeat lately. A peer that has ended would
// always be the one with the least backlog. Until the first heartbeat of a tenure, the peers count as present.
func (balancer *balancer) usableHosts() []Member {
	own := balancer.tenure.host.member()
	var present, absent []Member
	now := time.Now()
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	for _, member := range balancer.tenure.host.fleet.others(own.Name) {
		switch {
		case !now.After(balancer.backoffs[member.Name].until):
		case balancer.tenure.quorum.includes(member.Name):
			present = append(present, member)
		default:
			absent = append(absent, member)
		}
	}
	if !balancer.tenure.quorum.heard() {
		present = absent
	}
	return append([]Member{own}, present...)
}

// isShortHost reports whether the host at an index among count usable hosts is reserved for short queries.
func isShortHost(index, count int) bool {
	return index%hostsPerShortHost == 0 && count >= hostsPerShortHost
}

// slots returns how many short and long queries may be open at the same time.
func (balancer *balancer) slots() planner.Slots {
	var slots planner.Slots
	count := len(balancer.usableHosts())
	for index := range count {
		if isShortHost(index, count) {
			slots.Short++
		} else {
			slots.Long++
		}
	}
	slots.Short = max(slots.Short, 1)
	return slots
}

// pickHost returns the host with the least backlog. Hosts reserved for short queries get no long ones.
func (balancer *balancer) pickHost(maxAnswerTime time.Duration) Member {
	members := balancer.usableHosts()
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	best := -1
	for index, member := range members {
		if maxAnswerTime > planner.MaxShortQuery && isShortHost(index, len(members)) {
			continue
		}
		if best < 0 || balancer.backlog[member.Name] < balancer.backlog[members[best].Name] {
			best = index
		}
	}
	return members[best]
}

// queryPolicy sends a query to the policy service.
func (host *Host) queryPolicy(ctx context.Context, query PolicyQuery) (PolicyAnswer, error) {
	allowed, err := host.workers.QueryPolicy(ctx, host.settings.PolicyAddress, planner.PolicyQuery{Step: query.Step, Workers: query.Workers})
	return PolicyAnswer{Allowed: allowed}, err
}
