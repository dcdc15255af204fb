package planner

// obstacle is the first reason why a worker gets no task of a step. Placement, reservations, preemption, standbys and Explain ask for
// obstacles here, so that a worker is kept free only for a step that could start there.
type obstacle string

// The obstacles to a task on a worker.
const (
	obstacleNone       obstacle = "free"
	obstacleLeaving    obstacle = "leaving"    // it is not listed any more, or drains
	obstacleDrained    obstacle = "drained"    // it is in a drained zone
	obstacleLabel      obstacle = "label"      // it lacks the label of the step
	obstacleTooSmall   obstacle = "tooSmall"   // the task does not fit beside the standing runs there
	obstacleBarred     obstacle = "barred"     // it refused or failed too much
	obstacleUnanswered obstacle = "unanswered" // it has not answered of late
	obstacleReserved   obstacle = "reserved"   // it is kept free for another step
	obstacleFull       obstacle = "full"       // the task does not fit now
	obstacleCold       obstacle = "cold"       // it takes few tasks until it is warm
	obstacleApart      obstacle = "apart"      // it has as many tasks of the step as the step allows
	obstacleIsolated   obstacle = "isolated"   // it runs a suspect of crashes
	obstacleDisturbed  obstacle = "disturbed"  // a serving task and a filler would share it
	obstacleDenied     obstacle = "denied"     // the policy does not allow it
	obstacleNoTicket   obstacle = "noTicket"   // the policy has not allowed it of late
)

// obstacleNow returns the first obstacle to one more task of the step on a worker of its pool, in addition to the assigned ones, which
// have no runs yet.
func (pass *pass) obstacleNow(step *step, queue Queue, worker *Worker, assigned int) obstacle {
	switch {
	case !worker.hasLabel(step.Label):
		return obstacleLabel
	case pass.keptFrom(step, queue, worker):
		return obstacleReserved
	case !step.chargedSize().Mul(int64(assigned + 1)).Fits(worker.Free()):
		return obstacleFull
	case !pass.admittedWhileCold(step, queue, worker, assigned):
		return obstacleCold
	case !pass.planner.belowWorkerLimit(step, worker, assigned):
		return obstacleApart
	case worker.isolation.FromRuns(pass.now):
		return obstacleIsolated
	case pass.disturbedOn(step, worker):
		return obstacleDisturbed
	case queue.Policy != nil && step.policy.Denied(worker.ID):
		return obstacleDenied
	case queue.Policy != nil && !step.hasTicket(worker, pass.now):
		return obstacleNoTicket
	}
	return obstacleNone
}

// obstacleOnceEmptied returns the first obstacle to a task of the step on a worker of its pool that is left once all runs there but the
// standing ones have ended, whether or not it is reserved and what the policy says.
func (pass *pass) obstacleOnceEmptied(step *step, queue Queue, worker *Worker) obstacle {
	switch {
	case !worker.hasLabel(step.Label):
		return obstacleLabel
	case !step.chargedSize().Fits(worker.emptied()):
		return obstacleTooSmall
	case !pass.admittedWhileCold(step, queue, worker, 0):
		return obstacleCold
	case !pass.planner.belowWorkerLimit(step, worker, 0):
		return obstacleApart
	case worker.isolation.FromRuns(pass.now):
		return obstacleIsolated
	case step.disturbedOnceEmptied(worker):
		return obstacleDisturbed
	}
	return obstacleNone
}

// eligible reports whether a worker can take one more task of the step now, in addition to the assigned ones,
// which have no runs yet.
func (pass *pass) eligible(step *step, queue Queue, worker *Worker, assigned int) bool {
	return pass.obstacleNow(step, queue, worker, assigned) == obstacleNone
}

// reservable reports whether a worker may be reserved for a step, or preempted on for it: the step could start there once it is emptied.
// With a policy it has to have allowed the worker before: room on any other worker is most likely of no use to the step.
func (pass *pass) reservable(step *step, queue Queue, worker *Worker) bool {
	return !pass.reserved[worker.ID] && pass.obstacleOnceEmptied(step, queue, worker) == obstacleNone &&
		(queue.Policy == nil || step.policy.AllowedBefore(worker.ID))
}

// disturbedOn reports whether a task of the step would disturb serving tasks on a worker, also one that is about to start there, or be
// disturbed as one.
func (pass *pass) disturbedOn(step *step, worker *Worker) bool {
	if step.Filler && (worker.servingRuns > 0 || pass.now.Before(worker.fillersBarredUntil)) {
		return true
	}
	return step.TailMS > 0 && worker.fillerRuns > 0
}

// disturbedOnceEmptied is disturbedOn once all runs on the worker but the standing ones have ended.
func (step *Step) disturbedOnceEmptied(worker *Worker) bool {
	return step.Filler && worker.standingServing > 0 || step.TailMS > 0 && worker.standingFillers > 0
}

// obstacle returns the first obstacle to a task of a step on any worker of its service.
func (pass *pass) obstacle(step *step, queue Queue, worker *Worker) obstacle {
	switch {
	case !worker.Listed || worker.Draining:
		return obstacleLeaving
	case pass.planner.drainedZones[worker.Zone]:
		return obstacleDrained
	case !worker.hasLabel(step.Label):
		return obstacleLabel
	case !step.chargedSize().Fits(worker.emptied()):
		return obstacleTooSmall
	case !worker.health.Usable(pass.now):
		return obstacleBarred
	case !pass.planner.acceptsRuns(worker, pass.now):
		return obstacleUnanswered
	}
	return pass.obstacleNow(step, queue, worker, 0)
}
