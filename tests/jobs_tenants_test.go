package tests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
)

const (
	teamTwoKey = "team-two-key"
	longJob    = `{"service":"work","queue":"%s","tasks":[{"target":"?workMS=60000"}]}`
)

// publishOtherTeam publishes team two, its key, and a queue of team one that is open to it.
func (harness *harness) publishOtherTeam() {
	harness.Helper()
	for _, section := range []struct{ name, text string }{
		{"team two", "owner = ops\nshare = 1\n"},
		{"key two.main", "owner = ops\nteam = two\nkeySHA256 = " + digestOf(teamTwoKey) + "\n"},
		{"queue shared", "owner = ops\nteam = one\nopen = true\nclass = batch\nservices = work\n"},
	} {
		version, err := harness.PublishSection(harness.ctx, "entry-a-0", section.name, section.text, 0)
		if err != nil {
			harness.Fatal(err)
		}
		harness.awaitInForce(section.name, version, harness.Names)
	}
}

// submitAs submits a job to a queue with a key of a team.
func (harness *harness) submitAs(key, queue string, headers ...string) server.Job {
	harness.Helper()
	answer := harness.send(harness.ctx, "entry-b-0", http.MethodPost, "/v1/jobs", key, fmt.Appendf(nil, longJob, queue), headers...)
	var job server.Job
	if answer.status != http.StatusAccepted || json.Unmarshal(answer.body, &job) != nil {
		harness.Fatalf("job was not accepted: %+v", answer)
	}
	return job
}

// TestJobsOfOtherTeams guards against a job that the team which submitted it cannot read or cancel, and another team can: a queue that is open
// to all teams counted its jobs as those of the team it belongs to.
func TestJobsOfOtherTeams(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		h.publishOtherTeam()
		unknown := "j.a.00000000-0000-0000-0000-000000000000"
		for _, test := range []struct{ name, key, stranger, queue string }{
			{"own queue", teamKey, teamTwoKey, "oneBatch"},
			{"own open queue", teamKey, teamTwoKey, "shared"},
			{"open queue of another team", teamTwoKey, teamKey, "shared"},
		} {
			job := h.submitAs(test.key, test.queue)
			for _, host := range h.Names {
				for _, call := range []struct{ method, path string }{
					{http.MethodGet, ""}, {http.MethodGet, "/events"}, {http.MethodGet, "/tasks/0/answer"}, {http.MethodDelete, ""},
				} {
					got := h.send(h.ctx, host, call.method, "/v1/jobs/"+job.ID+call.path, test.stranger, nil)
					want := h.send(h.ctx, host, call.method, "/v1/jobs/"+unknown+call.path, test.stranger, nil)
					if got.status != want.status || strings.ReplaceAll(string(got.body), job.ID, unknown) != string(want.body) {
						t.Errorf("%s: %s %s by a stranger at %s: %d %s, want %d %s as for an unknown job", test.name, call.method, call.path, host, got.status, got.body, want.status, want.body)
					}
				}
				if answer := h.send(h.ctx, host, http.MethodGet, "/v1/jobs/"+job.ID, test.key, nil); answer.status != http.StatusOK {
					t.Errorf("%s: GET by its team at %s: %d %s, want 200", test.name, host, answer.status, answer.body)
				}
			}
			if answer := h.send(h.ctx, "entry-c-0", http.MethodDelete, "/v1/jobs/"+job.ID, test.key, nil); answer.status != http.StatusOK {
				t.Errorf("%s: DELETE by its team: %d %s, want 200", test.name, answer.status, answer.body)
			}
		}
	})
}

// TestSameKeyOfTwoTeams guards against an idempotency key of one team that stands for a job of another one.
func TestSameKeyOfTwoTeams(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		h.publishOtherTeam()
		own := h.submitAs(teamKey, "shared", "Idempotency-Key", "k")
		other := h.submitAs(teamTwoKey, "shared", "Idempotency-Key", "k")
		if again := h.submitAs(teamTwoKey, "shared", "Idempotency-Key", "k"); again.ID != other.ID || own.ID == other.ID {
			t.Errorf("jobs %s and %s of two teams, and %s again, want two jobs", own.ID, other.ID, again.ID)
		}
	})
}

// TestSameKeyAtOnce guards against a job that is answered as accepted while another one has its idempotency key, and against copies of a job
// that was not accepted: both were submitted at the same time.
func TestSameKeyAtOnce(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		answers := make([]reply, 4)
		var wait sync.WaitGroup
		for number := range answers {
			wait.Go(func() {
				body := fmt.Appendf(nil, `{"service":"work","tasks":[{"target":"?workMS=%d"}]}`, 100+number)
				answers[number] = h.send(h.ctx, "entry-b-0", http.MethodPost, "/v1/jobs", teamKey, body, "Idempotency-Key", "k")
			})
		}
		wait.Wait()
		var job server.Job
		accepted := 0
		for _, answer := range answers {
			switch {
			case answer.status == http.StatusAccepted && json.Unmarshal(answer.body, &job) == nil:
				accepted++
			case answer.problem.Code() != responder.CodeKeyReused:
				t.Errorf("got %d %s, want 202 or keyReused", answer.status, answer.body)
			}
		}
		if accepted != 1 {
			t.Errorf("%d of %d different jobs were accepted under one idempotency key, want 1", accepted, len(answers))
		}
		h.fabric.Pause("entry-" + job.Zone + "-0")
		for _, host := range h.Names {
			if strings.HasPrefix(host, "entry-"+job.Zone) {
				continue
			}
			var copied server.Job
			answer := h.send(h.ctx, host, http.MethodGet, "/v1/jobs/"+job.ID, teamKey, nil)
			if answer.status == http.StatusOK && json.Unmarshal(answer.body, &copied) == nil && copied.Digest != job.Digest {
				t.Errorf("%s has a copy of another job than the accepted one: %+v", host, copied.Spec.Tasks)
			}
		}
	})
}
