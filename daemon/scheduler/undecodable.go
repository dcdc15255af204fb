package scheduler

import (
	"sync"
	"time"

	"ebonyshunt.org/platform/translator"
)

const (
	maxUndecodableLines       = 8 // per undecodableInterval
	undecodableInterval       = time.Second
	maxUndecodableReasons     = 1000
	maxUndecodableReasonBytes = 300
)

// undecodable logs the records of other writers that cannot be decoded. A writer may store the same one again and again, so that a
// record is logged only if the reason differs from the last one for its key.
type undecodable struct {
	mu         sync.Mutex
	reasons    map[recordKey]string
	since      time.Time
	lines      int
	suppressed int // number of records without a line since the last line
}

// recordKey is the key of a record in a topic.
type recordKey struct {
	topic translator.Topic
	key   string
}

func newUndecodable() *undecodable { return &undecodable{reasons: map[recordKey]string{}} }

// decoded forgets the reason for a key.
func (undecodable *undecodable) decoded(topic translator.Topic, key string) {
	undecodable.mu.Lock()
	defer undecodable.mu.Unlock()
	delete(undecodable.reasons, recordKey{topic, key})
}

// admit returns the text to log for a record, and false if none is due. The text is followed by the number of records that were
// not logged before.
func (undecodable *undecodable) admit(topic translator.Topic, key string, err error) (reason string, unlogged int, due bool) {
	undecodable.mu.Lock()
	defer undecodable.mu.Unlock()
	reason = err.Error()
	reason = reason[:min(len(reason), maxUndecodableReasonBytes)]
	if undecodable.reasons[recordKey{topic, key}] == reason {
		return "", 0, false
	}
	if now := time.Now(); now.Sub(undecodable.since) >= undecodableInterval {
		undecodable.since, undecodable.lines = now, 0
	}
	if undecodable.lines >= maxUndecodableLines {
		undecodable.suppressed++
		return "", 0, false
	}
	if len(undecodable.reasons) >= maxUndecodableReasons {
		clear(undecodable.reasons)
	}
	undecodable.reasons[recordKey{topic, key}] = reason
	undecodable.lines++
	unlogged, undecodable.suppressed = undecodable.suppressed, 0
	return reason, unlogged, true
}

// logUndecodable logs a record of another writer, see undecodable.
func (host *Host) logUndecodable(message string, topic translator.Topic, key string, err error) {
	if reason, unlogged, due := host.undecodable.admit(topic, key, err); due {
		host.log.Warn(message, "key", key, "error", reason, "unloggedBefore", unlogged)
	}
}
