package server

import (
	"log/slog"
	"net/http"
	"testing"

	"ebonyshunt.org/daemon/acceptor"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/library/responder"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	smallMemoryMB  = 128
	largeBodyBytes = 512 << 10
	largeJobs      = 80
)

// newMemoryTenure returns the tenure of a host with a small memory.
func newMemoryTenure() *tenure {
	limits := acceptor.NewReporter(prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	return &tenure{zone: "a", jobs: map[string]*jobState{}, server: &Server{settings: loader.Settings{MemoryMB: smallMemoryMB}, limits: limits}}
}

// acceptLargeJobs accepts jobs until one is refused, largeJobs at most. It returns how many were accepted.
func acceptLargeJobs(tenure *tenure) (accepted int, refused *responder.Problem) {
	for range largeJobs {
		job := &jobState{Job: Job{Spec: JobSpec{Tasks: []TaskSpec{{Body: make([]byte, largeBodyBytes)}}}, Tasks: make([]JobTask, 1)}}
		release, problem := tenure.reserveMemory(job)
		if problem != nil {
			return accepted, problem
		}
		tenure.jobBytes += job.memory()
		release()
		accepted++
	}
	return accepted, nil
}

// TestReserveMemory guards against a deciding host whose memory accepted jobs fill.
func TestReserveMemory(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		tenure := newMemoryTenure()
		accepted, refused := acceptLargeJobs(tenure)
		if accepted == 0 || accepted*largeBodyBytes*jobCopies > smallMemoryMB<<20/jobMemoryShare {
			t.Errorf("%d jobs of %d bytes were accepted by a host of %d MB", accepted, largeBodyBytes, smallMemoryMB)
		}
		if refused == nil || refused.Status != http.StatusServiceUnavailable || refused.Outcome != responder.NotRun || refused.RetryAfter == 0 {
			t.Errorf("refused with %+v", refused)
		}
		tenure.countMemory() // all have expired
		if again, _ := acceptLargeJobs(tenure); again != accepted {
			t.Errorf("%d jobs were accepted after the others had expired, want %d", again, accepted)
		}
	})
	t.Run("beingAccepted", func(t *testing.T) {
		tenure := newMemoryTenure()
		job := &jobState{Job: Job{Spec: JobSpec{Tasks: []TaskSpec{{Body: make([]byte, smallMemoryMB<<20/jobMemoryShare/jobCopies/2)}}}, Tasks: make([]JobTask, 1)}}
		release, problem := tenure.reserveMemory(job)
		if problem != nil {
			t.Fatalf("refused with %+v", problem)
		}
		if _, problem := tenure.reserveMemory(job); problem == nil {
			t.Error("a job was accepted that has no room beside one that is being accepted")
		}
		release()
		if _, problem := tenure.reserveMemory(job); problem != nil {
			t.Errorf("refused with %+v after the other one had failed", problem)
		}
	})
}

// TestCountMemory checks that the memory of jobs that have expired can be used again, and that answers count.
func TestCountMemory(t *testing.T) {
	const bodyBytes, answerBytes = 1000, 500
	job := &jobState{Job: Job{Spec: JobSpec{Tasks: []TaskSpec{{Body: make([]byte, bodyBytes)}}}, Tasks: make([]JobTask, 1)}}
	tenure := &tenure{jobs: map[string]*jobState{"j": job}}
	for range 2 {
		tenure.countMemory()
	}
	if want := int64(jobCopies*bodyBytes + memoryPerJobTask); tenure.jobBytes != want {
		t.Errorf("%d bytes, want %d", tenure.jobBytes, want)
	}
	job.Tasks[0].Answer = make([]byte, answerBytes)
	tenure.countMemory()
	if want := int64(jobCopies*(bodyBytes+answerBytes) + memoryPerJobTask); tenure.jobBytes != want {
		t.Errorf("%d bytes with the answer, want %d", tenure.jobBytes, want)
	}
	delete(tenure.jobs, "j")
	tenure.countMemory()
	if tenure.jobBytes != 0 {
		t.Errorf("%d bytes without jobs", tenure.jobBytes)
	}
}
