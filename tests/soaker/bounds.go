package soaker

import "time"

// The bounds that the platform's documentation states, for deployments with the settings of the soak's hosts.
const (
	reconnectTime = 3 * time.Second        // after a fault of its own, a host is connected again
	lossSlack     = 200 * time.Millisecond // a call that ends without an answer this early does not count as begun
	visibleWithin = 3 * time.Second        // all connected hosts know an accepted job
	configWithin  = 2 * time.Second        // a configuration is in force on connected hosts
	rollbackSlack = 250 * time.Millisecond // after a configuration was seen in force, no call is handled by an older one
	cancelWithin  = 3 * time.Second        // no task of a canceled job starts any more
	finishWithin  = 14 * time.Second       // after the end of traffic, all accepted jobs have ended
	drainWithin   = 2 * time.Second        // no task starts on a worker that drains
	// no task starts in a zone after the request to drain it, and how much later with faults in between
	zoneDrainWithin   = 5 * time.Second
	zoneDrainExtra    = 6 * time.Second
	standingWithin    = 6 * time.Second // a standing task runs again
	standingFaultFree = 7 * time.Second // without faults, before standingWithin holds
	capOverage        = 0.1             // of a team's cap
)

// The crashes of workers after which a task may be given up, and its job be shown as failed.
const (
	maxCrashes      = 3
	maxCrashesAlone = 2 // if nothing else ran on the worker that crashed last
)
