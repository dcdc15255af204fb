package planner

import (
	"strings"
	"sync"
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

	index queueIndex
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

// maxAnswerTime returns the time to the answer of a query about minQueriedWorkers workers.
func (policy *Policy) maxAnswerTime() time.Duration {
	return policy.BaseTime + minQueriedWorkers*policy.PerWorker
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

// queueIndex finds queues by name and by prefix: a fleet may have thousands, and each call and step looks one up.
type queueIndex struct {
	built         sync.Once
	byName        map[string]*Queue
	byPrefix      map[string][]*Queue // in the order of Catalog.Queues
	longestPrefix int                 // in bytes
}

// indexed returns the index, which is built on first use.
func (catalog *Catalog) indexed() *queueIndex {
	catalog.index.built.Do(func() {
		catalog.index.byName = make(map[string]*Queue, len(catalog.Queues))
		catalog.index.byPrefix = make(map[string][]*Queue, len(catalog.Queues))
		for number := range catalog.Queues {
			queue := &catalog.Queues[number]
			if _, duplicate := catalog.index.byName[queue.Name]; !duplicate {
				catalog.index.byName[queue.Name] = queue
			}
			catalog.index.byPrefix[queue.Prefix] = append(catalog.index.byPrefix[queue.Prefix], queue)
			catalog.index.longestPrefix = max(catalog.index.longestPrefix, len(queue.Prefix))
		}
	})
	return &catalog.index
}

// Route returns the queue with the longest prefix of the path among those whose host matches, and false if there is
// none. A queue without a host matches every host.
func (catalog *Catalog) Route(host, path string) (Queue, bool) {
	index := catalog.indexed()
	for length := min(len(path), index.longestPrefix); length >= 0; length-- {
		for _, queue := range index.byPrefix[path[:length]] {
			if queue.Host == "" || strings.EqualFold(queue.Host, host) {
				return *queue, true
			}
		}
	}
	return Queue{}, false
}

// Queue returns the queue with a name, and false if there is none.
func (catalog *Catalog) Queue(name string) (Queue, bool) {
	queue, found := catalog.indexed().byName[name]
	if !found {
		return Queue{}, false
	}
	return *queue, true
}
