package scheduler

import (
	"time"

	"ebonyshunt.org/platform/translator"
)

// maxSendTime bounds the age up to which a call to a worker may be sent, also while this host is late itself.
const maxSendTime = time.Second

// maxExecutionDelay is how long after it arrived a worker may execute a call that it does not answer. No longer delay is waited for: a worker
// that can be reached answers a poll in the meantime, and then refuses earlier calls.
const maxExecutionDelay = 2 * time.Second

// latestSend returns the uptime of this host up to which a call to a worker may be sent that was prepared at an uptime, given the time-out of
// its answer.
func latestSend(preparedAt, timeout time.Duration) time.Duration {
	return preparedAt + min(timeout, maxSendTime)
}

// timeLeft returns how much time is left until an uptime of this host.
func (host *Host) timeLeft(sendBy time.Duration) translator.TimeLeft {
	return func() time.Duration { return sendBy - host.uptime() }
}
