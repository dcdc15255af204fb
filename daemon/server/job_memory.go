package server

import (
	"net/http"
	"time"

	"ebonyshunt.org/library/responder"
)

const (
	// jobMemoryShare is the inverse of the part of the host's memory that the jobs of its zone may take.
	jobMemoryShare = 4
	// jobCopies is the number of times that a job is in memory: itself, and its record in Base64, also while it is sent.
	jobCopies = 3
	// memoryPerJobTask is the memory of a task in bytes, without its body and its answer.
	memoryPerJobTask = 1 << 10
	// fullRetryDelay is sent to callers whose job was refused for lack of memory. Jobs are kept for jobRetention.
	fullRetryDelay = 5 * time.Second
	jobMemoryLimit = "jobMemory"
)

// memory returns the number of bytes that a job takes.
func (jobState *jobState) memory() int64 {
	var bytes int
	for i, task := range jobState.Spec.Tasks {
		bytes += len(task.Target) + len(task.Body) + len(jobState.Tasks[i].Answer)
	}
	return int64(jobCopies*bytes + memoryPerJobTask*len(jobState.Tasks))
}

// reserveMemory counts a job until release is called; it is counted as accepted from then on. It returns a problem if the jobs of the zone
// take too much memory with it.
func (tenure *tenure) reserveMemory(job *jobState) (release func(), problem *responder.Problem) {
	bytes := job.memory()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.jobBytes+tenure.reservedBytes+bytes > tenure.server.settings.MemoryMB<<20/jobMemoryShare {
		tenure.server.limits.Record(httpListener, jobMemoryLimit)
		return nil, responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded,
			"the jobs of zone %s take the memory for them", tenure.zone).WithRetryAfter(fullRetryDelay)
	}
	tenure.reservedBytes += bytes
	return func() {
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		tenure.reservedBytes -= bytes
	}, nil
}

// countMemory counts the memory of the accepted jobs anew, with the answers that have arrived. The caller holds tenure.mu.
func (tenure *tenure) countMemory() {
	tenure.jobBytes = 0
	for _, job := range tenure.jobs {
		tenure.jobBytes += job.memory()
	}
}
