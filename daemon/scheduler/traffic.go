package scheduler

import "ebonyshunt.org/daemon/dialer"

// traffic counts the bytes that this host exchanges with the parts of the system that share its link. Callers' bytes are not
// counted.
type traffic struct {
	peers   dialer.Meter
	store   dialer.Meter
	workers dialer.Meter
}

// trafficMeter reads the traffic of a host since its last reading.
type trafficMeter struct {
	traffic  *traffic
	previous trafficTotals
}

// trafficTotals are numbers of bytes.
type trafficTotals struct {
	peersSent, peersReceived     int64
	storeSent, storeReceived     int64
	workersSent, workersReceived int64
}

// totals returns the bytes counted so far.
func (traffic *traffic) totals() trafficTotals {
	return trafficTotals{
		peersSent: traffic.peers.Sent.Load(), peersReceived: traffic.peers.Received.Load(),
		storeSent: traffic.store.Sent.Load(), storeReceived: traffic.store.Received.Load(),
		workersSent: traffic.workers.Sent.Load(), workersReceived: traffic.workers.Received.Load(),
	}
}

// read returns the bytes since the last reading.
func (trafficMeter *trafficMeter) read() trafficTotals {
	totals, previous := trafficMeter.traffic.totals(), trafficMeter.previous
	trafficMeter.previous = totals
	return trafficTotals{
		peersSent: totals.peersSent - previous.peersSent, peersReceived: totals.peersReceived - previous.peersReceived,
		storeSent: totals.storeSent - previous.storeSent, storeReceived: totals.storeReceived - previous.storeReceived,
		workersSent: totals.workersSent - previous.workersSent, workersReceived: totals.workersReceived - previous.workersReceived,
	}
}
