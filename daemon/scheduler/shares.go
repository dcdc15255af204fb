package scheduler

import (
	"github.com/prometheus/client_golang/prometheus"

	"ebonyshunt.org/library/planner"
)

// maxReportedShares limits the teams and services whose shares are reported, to bound the number of time series.
const maxReportedShares = 20

// shareMetrics holds the metrics of the teams' shares of the services. They are set only if shares are by service.
type shareMetrics struct {
	share     *prometheus.GaugeVec
	used      *prometheus.GaugeVec
	givenBack prometheus.Counter
}

func newShareMetrics() shareMetrics {
	labels := []string{"service", "team"}
	return shareMetrics{
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "ebonyshunt_team_share", Help: "Dominant share of a service, from 0 to 1, that a team should have now; on the decider, for the 20 largest of all services.",
		}, labels),
		used: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "ebonyshunt_team_used_share", Help: "Dominant share of a service, from 0 to 1, that a team uses; on the decider, for the 20 largest of all services.",
		}, labels),
		givenBack: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ebonyshunt_given_back_runs_total", Help: "Runs that were stopped to give room back to teams below their shares.",
		}),
	}
}

// observe replaces the reported shares.
func (shareMetrics shareMetrics) observe(shares []planner.TeamShare) {
	shareMetrics.share.Reset()
	shareMetrics.used.Reset()
	for _, share := range shares {
		shareMetrics.share.WithLabelValues(share.Service, share.Team).Set(share.Share)
		shareMetrics.used.WithLabelValues(share.Service, share.Team).Set(share.Used)
	}
}

// logGiveBacks logs and counts the runs that are stopped to give room back.
func (tenure *tenure) logGiveBacks(giveBacks []planner.GiveBack) {
	for _, giveBack := range giveBacks {
		tenure.host.metrics.shares.givenBack.Inc()
		tenure.host.log.Info("run stopped to give room back", "task", giveBack.Task.String(), "run", giveBack.Number, "worker", giveBack.Worker,
			"service", giveBack.Service, "team", giveBack.Team, "usedShare", giveBack.Used, "share", giveBack.Share, "unsaved", giveBack.Unsaved.String(),
			"receiver", giveBack.Receiver.String(), "receiverTeam", giveBack.ReceiverTeam, "receiverUsedShare", giveBack.ReceiverUsed,
			"receiverShare", giveBack.ReceiverShare, "waited", giveBack.Waited.String())
	}
}
