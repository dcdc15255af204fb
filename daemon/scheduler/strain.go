package scheduler

import (
	"context"
	"time"
)

// strain is how late a decider's planning turns are, which tells that its machine is slowed or overloaded.
type strain struct{ average }

const (
	strainWeight = 4                     // of the latest turn, as a divisor
	strainedAt   = 25 * time.Millisecond // of lateness, as an average
	reliefAfter  = 10 * time.Second      // of deciding, in which a large fleet's workers were looked at
	reliefPause  = 15 * time.Second      // in which a host is neither relieved twice, nor after it relieved another
)

func newStrain() strain { return strain{average{weight: strainWeight}} }

// note takes note of how late a turn began.
func (strain *strain) note(late time.Duration) { strain.add(int64(late)) }

// lateness returns how late turns are at present.
func (strain *strain) lateness() time.Duration { return time.Duration(strain.value.Load()) }

// relieve asks a peer that can carry as much to decide in place of this host, when its turns are late. A
// tenure is strained at its beginning, when it looks at every worker.
func (host *Host) relieve(tenure *tenure, election Election) {
	late := tenure.strain.lateness()
	now := host.uptime()
	if late < strainedAt || now-tenure.beganAt < reliefAfter || now-time.Duration(host.relievedAt.Load()) < reliefPause {
		return
	}
	for _, member := range host.fleet.others(host.settings.Host) {
		if member.ProcessorShare < host.settings.ProcessorShare || !tenure.support.from(member.Name) {
			continue
		}
		host.relievedAt.Store(int64(now))
		ctx, cancel := context.WithTimeout(host.ctx, campaignWithin)
		defer cancel()
		err := host.callCampaign(ctx, member, election)
		host.log.Info("turns are late, asks a peer to decide", "term", tenure.term, "to", member.Name, "late", late.String(), "error", err)
		return
	}
}
