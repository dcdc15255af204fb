package scheduler

import "ebonyshunt.org/library/planner"

// maxLeaseLines is the maximum number of lines of each kind for one batch: all workers of a zone may fall silent together.
const maxLeaseLines = 32

// logRestarts logs each worker that has restarted, and by when the leases of its new life have expired.
func (tenure *tenure) logRestarts(restarts []planner.RestartEvent) {
	for index, restart := range restarts {
		if index == maxLeaseLines {
			tenure.host.log.Info("worker restarted", "more", len(restarts)-index)
			return
		}
		tenure.host.log.Info("worker restarted", "worker", restart.Worker, "former", restart.Former, "incarnation", restart.Incarnation,
			"runs", restart.Runs, "token", restart.Token, "leasesExpireIn", restart.ExpireIn.String(), "reason", string(restart.Reason))
	}
}

// logSilences logs each worker with runs that does not answer, by when the leases there have expired, and how many runs were closed since
// theirs have.
func (tenure *tenure) logSilences(silences []planner.SilenceEvent) {
	for index, silence := range silences {
		if index == maxLeaseLines {
			tenure.host.log.Info("worker does not answer", "more", len(silences)-index)
			return
		}
		tenure.host.log.Info("worker does not answer", "worker", silence.Worker, "incarnation", silence.Incarnation, "runs", silence.Runs,
			"expired", silence.Expired, "leasesExpireIn", silence.Shown.ExpireIn.String(), "reason", string(silence.Shown.Reason),
			"ofUnknownLivesIn", silence.Unshown.ExpireIn.String(), "reasonOfUnknownLives", string(silence.Unshown.Reason))
	}
}
