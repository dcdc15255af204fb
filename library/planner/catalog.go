package planner

import (
	"strings"
	"time"

	"ebonyshunt.org/library/sizer"
)

// Catalog is one version of the fleet's configuration. It is immutable.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Teams    map[string]Team
	Keys     map[string]string // team names by API key
	Limits   Limits
}

// Limits are the limits that an entry host applies to its connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Queue is a queue of jobs, with the route to it and the service that runs its tasks.
type Queue struct {
	Name          string
	Host          string
	Prefix        string
	Service       string
	Priority      int     // 0 is the highest
	MaxAttempts   int     // number of failed runs of a task after which its job fails, 0 for no limit
	Stretch       float64 // factor of the expected run time of a job's longest chain of steps in its objective
	TargetLatency time.Duration
	Timeout       time.Duration
	Public        bool // whether jobs need no API key
	Policy        *Policy
}

// Policy describes the policy service for a queue: an answer takes BaseTime plus PerWorker for each worker in the
// query, and is valid for Validity.
type Policy struct {
	BaseTime  time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name           string
	AdmissionCheck bool // whether its workers refuse runs that do not fit
	Standby        bool // whether it is on standby
}

// Team is an owner of jobs.
type Team struct {
	Name   string
	Weight float64    // relative share of a full fleet, and submission rate in jobs per second
	Cap    sizer.Size // maximum total size of its concurrent runs, 0 for a resource without limit
}

// Route returns the queue with the longest prefix of the path among those whose host matches, and false if there is
// none. A queue without a host matches every host.
func (catalog *Catalog) Route(host, path string) (Queue, bool) {
	best := -1
	for number := range catalog.Queues {
		queue := &catalog.Queues[number]
		if queue.Host != "" && !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if best < 0 || len(queue.Prefix) > len(catalog.Queues[best].Prefix) {
			best = number
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return catalog.Queues[best], true
}

// Queue returns the queue with a name, and false if there is none.
func (catalog *Catalog) Queue(name string) (Queue, bool) {
	for number := range catalog.Queues {
		if catalog.Queues[number].Name == name {
			return catalog.Queues[number], true
		}
	}
	return Queue{}, false
}
