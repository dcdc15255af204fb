package soaker

import (
	"net/http"
	"time"

	"ebonyshunt.org/standin/caller"
)

// prober calls one host at intervals with what single versions of the configuration allow, and checks which version
// is in force there.
type prober struct {
	soak   *soak
	host   *host
	caller *caller.Caller

	incarnation int
	seenVersion int // that the incarnation has shown to be in force
	seenAt      time.Time
}

const (
	probeInterval = 100 * time.Millisecond
	probeID       = "f000000000000001"
)

func newProber(soak *soak, host *host) *prober {
	return &prober{soak: soak, host: host, caller: caller.New(endpoint{httpGroup, host.number}.address(clientSource, soak.port))}
}

// run probes until the run's traffic ends.
func (prober *prober) run() {
	defer prober.caller.Close()
	for !isClosed(prober.soak.trafficEnds) {
		version, storedAt := prober.soak.platform.inForce()
		prober.probe(version, storedAt, "/only", func(status int) bool { return status != http.StatusNotFound }, versionPrefix(version)+probeID, durableKey)
		if version > 1 {
			prober.probe(version, storedAt, "key", func(status int) bool { return status == http.StatusUnauthorized }, durablePrefix+probeID, versionKey(version-1))
		}
		time.Sleep(probeInterval)
	}
}

// probe makes a call whose status tells whether a version is in force.
func (prober *prober) probe(version int, storedAt time.Time, what string, isInForce func(int) bool, path, key string) {
	incarnation := prober.host.currentIncarnation()
	answer := prober.caller.Call(caller.Query, path, key, "")
	prober.soak.logCall("PROBE", path+" "+key, prober.host.number, answer)
	prober.soak.checkComplete("PROBE", path, prober.host.number, answer)
	newest, _ := prober.soak.platform.inForce()
	if answer.Status == 0 || answer.Status == http.StatusServiceUnavailable || newest != version || incarnation != prober.host.currentIncarnation() {
		return
	}
	if incarnation != prober.incarnation {
		prober.incarnation, prober.seenVersion = incarnation, 0
	}
	if isInForce(answer.Status) {
		if prober.seenVersion != version {
			prober.seenVersion, prober.seenAt = version, answer.ReceivedAt
		}
		return
	}
	number := prober.host.number
	if prober.seenVersion == version && answer.SentAt.Sub(prober.seenAt) > rollbackSlack {
		prober.soak.report("CONFIG: host %d goes back behind version %d (%s, status %d)", number, version, what, answer.Status)
	}
	if answer.SentAt.Sub(storedAt) > configWithin && prober.soak.isConnected(number, answer.SentAt, answer.ReceivedAt) {
		prober.soak.report("CONFIG: version %d is not in force at host %d after %v (%s, status %d)", version, number, answer.SentAt.Sub(storedAt), what, answer.Status)
	}
}
