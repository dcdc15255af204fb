package soaker

import (
	"math/rand/v2"
	"net/http"
	"time"

	"ebonyshunt.org/standin/caller"
)

// client submits jobs one after the other and follows each until it has ended.
type client struct {
	soak    *soak
	random  *rand.Rand
	callers []*caller.Caller // by host
	at      int              // index of the host that the client uses
}

const (
	maxSubmissions   = 8
	retryInterval    = 250 * time.Millisecond
	maxRetryWait     = time.Second
	pollInterval     = 150 * time.Millisecond
	followTime       = 10 * time.Second // then the client submits its next job
	tenthsCanceled   = 1
	tenthsRepeated   = 2 // share of jobs that are submitted again after they were accepted
	tenthsOnSameHost = 8 // share of calls that stay on the host of the call before
)

func newClient(soak *soak, number uint64) *client {
	client := &client{soak: soak, random: rand.New(rand.NewPCG(soak.plan.Seed, number))}
	for host := 1; host <= soak.plan.Hosts; host++ {
		client.callers = append(client.callers, caller.New(endpoint{httpGroup, host}.address(clientSource, soak.port)))
	}
	client.at = client.random.IntN(len(client.callers))
	return client
}

// run submits jobs until the run's traffic ends.
func (client *client) run() {
	defer client.close()
	for !isClosed(client.soak.trafficEnds) {
		kind := []jobKind{chainJob, chainJob, chainJob, gangJob, longJob}[client.random.IntN(5)]
		job := client.soak.jobs.add(client.random, kind)
		if client.submit(job) {
			client.follow(job)
		}
	}
}

func (client *client) close() {
	for _, caller := range client.callers {
		caller.Close()
	}
}

// submit submits a job until it is accepted, and reports whether it was.
func (client *client) submit(job *job) bool {
	for range maxSubmissions {
		answer := client.submitOnce(job)
		if answer.Status == http.StatusOK {
			return true
		}
		if answer.Status >= http.StatusBadRequest && answer.Status < http.StatusInternalServerError && !answer.IsRejected() {
			client.soak.report("ANSWER: job %s was answered with status %d", job.ID, answer.Status)
			return false
		}
		client.switchHost()
		time.Sleep(min(max(answer.RetryAfter, retryInterval), maxRetryWait))
	}
	return false
}

func (client *client) submitOnce(job *job) caller.Answer {
	job.update(func(seen *observations) { seen.attempts++ })
	answer := client.call(caller.Submit, job, job.submission().Encode())
	job.update(func(seen *observations) {
		if answer.IsRejected() || answer.Refused {
			seen.rejected++
		}
		if answer.Status == http.StatusOK && seen.acceptedAt.IsZero() {
			seen.acceptedAt = answer.ReceivedAt
		}
	})
	return answer
}

// follow asks for the state of an accepted job until it has ended. Some jobs are canceled or submitted again.
func (client *client) follow(job *job) {
	began := time.Now()
	var cancelAfter, repeatAfter time.Duration
	if client.random.IntN(10) < tenthsCanceled || kindOf(job.ID) == longJob && client.random.IntN(2) == 0 {
		cancelAfter = time.Duration(1 + client.random.Int64N(int64(2*time.Second)))
	}
	if client.random.IntN(10) < tenthsRepeated {
		repeatAfter = time.Duration(1 + client.random.Int64N(int64(2*time.Second)))
	}
	for time.Since(began) < followTime {
		if client.query(job) {
			return
		}
		if repeatAfter > 0 && time.Since(began) > repeatAfter {
			repeatAfter = 0
			client.submitOnce(job)
		}
		if cancelAfter > 0 && time.Since(began) > cancelAfter && client.cancel(job) {
			cancelAfter = 0
		}
		time.Sleep(pollInterval)
		if client.random.IntN(10) >= tenthsOnSameHost {
			client.switchHost()
		}
	}
}

// query asks for the state of a job, checks the answer and reports whether the job has ended.
func (client *client) query(job *job) bool {
	answer := client.call(caller.Query, job, "")
	client.soak.checkState(job, client.at+1, answer)
	if answer.Status != http.StatusOK || answer.State == caller.Queued || answer.State == caller.Running {
		return false
	}
	job.update(func(seen *observations) {
		if seen.state == "" {
			seen.state, seen.endedAt = answer.State, answer.ReceivedAt
		}
	})
	return true
}

// cancel cancels a job and reports whether that was acknowledged.
func (client *client) cancel(job *job) bool {
	job.update(func(seen *observations) {
		if seen.cancelSentAt.IsZero() {
			seen.cancelSentAt = time.Now()
		}
	})
	answer := client.call(caller.Cancel, job, "")
	if answer.Status != http.StatusOK {
		return false
	}
	job.update(func(seen *observations) {
		if seen.canceledAt.IsZero() {
			seen.canceledAt = answer.ReceivedAt
		}
	})
	return true
}

// call calls the host that the client uses. After a failure it moves to another host.
func (client *client) call(method string, job *job, body string) caller.Answer {
	host := client.at + 1
	answer := client.callers[client.at].Call(method, durablePrefix+job.ID, job.Key, body)
	client.soak.logCall(method, job.ID, host, answer)
	client.soak.checkComplete(method, job.ID, host, answer)
	if answer.Status == 0 {
		client.switchHost()
	}
	return answer
}

// switchHost lets the client use another host.
func (client *client) switchHost() { client.at = client.random.IntN(len(client.callers)) }
