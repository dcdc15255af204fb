package soaker

import (
	"math/rand/v2"
	"net/http"
	"time"

	"ebonyshunt.org/standin/caller"
)

// foreignClient calls hosts for jobs of other clients with the key of another team, and checks that it is answered as for a job that
// does not exist, or that the ID is taken. That such calls change nothing, the other clients notice.
type foreignClient struct {
	soak    *soak
	random  *rand.Rand
	callers []*caller.Caller // by host
}

// foreignInterval is the time between two calls of a foreignClient.
const foreignInterval = 200 * time.Millisecond

func newForeignClient(soak *soak) *foreignClient {
	client := &foreignClient{soak: soak, random: rand.New(rand.NewPCG(soak.plan.Seed, uint64(soak.plan.Clients)+1))}
	for host := 1; host <= soak.plan.Hosts; host++ {
		client.callers = append(client.callers, caller.New(endpoint{httpGroup, host}.address(clientSource, soak.port)))
	}
	return client
}

// run makes calls until the run's traffic ends.
func (foreignClient *foreignClient) run() {
	for !isClosed(foreignClient.soak.trafficEnds) {
		if jobs := foreignClient.soak.jobs.all(); len(jobs) > 0 {
			foreignClient.call(jobs[foreignClient.random.IntN(len(jobs))])
		}
		time.Sleep(foreignInterval)
	}
	for _, caller := range foreignClient.callers {
		caller.Close()
	}
}

// call makes a call for a job that was accepted before.
func (foreignClient *foreignClient) call(job *job) {
	at := foreignClient.random.IntN(len(foreignClient.callers))
	method := []string{caller.Submit, caller.Query, caller.Cancel}[foreignClient.random.IntN(3)]
	if job.observations().acceptedAt.IsZero() {
		return
	}
	answer := foreignClient.callers[at].Call(method, durablePrefix+job.ID, otherKey(job.Key), job.submission().Encode())
	foreignClient.soak.logCall("FOREIGN "+method, job.ID, at+1, answer)
	foreignClient.soak.checkComplete("FOREIGN "+method, job.ID, at+1, answer)
	if answer.Status == http.StatusOK {
		foreignClient.soak.report("FOREIGN: host %d answers %s for job %s of another team with status 200", at+1, method, job.ID)
	}
}

// otherKey returns a key of another team than the one of a key.
func otherKey(key string) string {
	if key == durableKey {
		return cappedKey
	}
	return durableKey
}
