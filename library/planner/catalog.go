package planner

import (
	"strings"
	"time"

	"ebonyshunt.org/library/sizer"
)

// Catalog is one version of the fleet's configuration. It is not changed once made.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Teams    map[string]Team
	Keys     map[string]string // team by key
	Limits   Limits
}

// Limits bound what an entry host takes from a connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Queue is where jobs of one kind are handed in.
type Queue struct {
	Name          string
	Host          string
	Prefix        string
	Service       string
	Priority      int     // 0 comes first
	MostAttempts  int     // failed runs of a task after which its job has failed
	Stretch       float64 // objective as a multiple of the longest chain of work
	TargetLatency time.Duration
	Timeout       time.Duration
	Open          bool // takes jobs without a key
	Policy        *Policy
}

// Policy tells what an answer of the policy service costs and how long it holds.
type Policy struct {
	Decide    time.Duration
	PerWorker time.Duration
	Valid     time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name   string
	Guards bool // its workers refuse what does not fit
	Off    bool
}

// Team is who jobs belong to.
type Team struct {
	Name   string
	Weight float64    // share of a full fleet, and jobs a second that are owed
	Cap    sizer.Size // what may run at once; members that are 0 are not limited
}

// Route returns the queue whose host matches and whose prefix is the longest that the path begins with.
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

// Queue returns a queue by name.
func (catalog *Catalog) Queue(name string) (Queue, bool) {
	for number := range catalog.Queues {
		if catalog.Queues[number].Name == name {
			return catalog.Queues[number], true
		}
	}
	return Queue{}, false
}
