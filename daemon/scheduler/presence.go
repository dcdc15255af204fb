package scheduler

// heard reports whether any host has sent a heartbeat in this tenure.
func (quorum *quorum) heard() bool {
	quorum.mu.Lock()
	defer quorum.mu.Unlock()
	return len(quorum.heartbeats) > 0
}
