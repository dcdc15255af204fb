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
	// routeVersion is the latest version whose own route the incarnation has shown.
	routeVersion int
}

const (
	probeInterval = 100 * time.Millisecond
	probeID       = "f000000000000001"
	routeProbe    = "/only" // a call by a route of the version alone
	keyProbe      = "key"   // a call with the key of the version before it
)

func newProber(soak *soak, host *host) *prober {
	return &prober{soak: soak, host: host, caller: caller.New(endpoint{httpGroup, host.number}.address(clientSource, soak.port))}
}

// run probes until the run's traffic ends.
func (prober *prober) run() {
	defer prober.caller.Close()
	for !isClosed(prober.soak.trafficEnds) {
		version, storedAt := prober.soak.platform.inForce()
		prober.probe(version, storedAt, routeProbe, func(status int) bool { return status != http.StatusNotFound }, versionPrefix(version)+probeID, durableKey)
		if version > 1 {
			prober.probe(version, storedAt, keyProbe, func(status int) bool { return status == http.StatusUnauthorized }, durablePrefix+probeID, versionKey(version-1))
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
		prober.incarnation, prober.seenVersion, prober.routeVersion = incarnation, 0, 0
	}
	if isInForce(answer.Status) {
		if !prober.shows(version, what) {
			return
		}
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

// shows reports whether an answer as of a version shows that it is in force, and notes what a route has shown. A key that is refused shows
// it only at a host that had the version before, which allowed the key: an older one does not know the key either.
func (prober *prober) shows(version int, what string) bool {
	if what == routeProbe {
		prober.routeVersion = version
	}
	return prober.routeVersion >= version-1
}
