package limiter

import "ebonyshunt.org/library/sizer"

// Demand is the work of one team in a zone: Used is the size of its running tasks, QueuedSize that of its
// waiting tasks.
type Demand struct {
	Team       string
	Used       sizer.Size
	QueuedSize sizer.Size
}

// Plan returns the change that a zone requests of an account, and false if it requests none.
//
// A zone keeps an even share of the limit in reserve while no other zone has unmet demand, so that it can
// start work when it is cut off from the log. It takes back such a reserve only once no other zone records unmet
// demand: several zones plan on the same account at once, and could otherwise take what that demand needs. It
// always leaves the other zones' floors unallocated.
//
// A zone releases capacity that it does not use to zones with unmet demand, down to its floor. When the
// slices add up to more than a lowered limit, it releases the excess, but keeps what its running tasks use and at
// least an even share.
func Plan(account Account, zone string, zones int, demand Demand) (Change, bool) {
	evenShare := account.Limit.Div(int64(max(1, zones)))
	held := account.Held(zone)
	needed := clearUnlimited(demand.Used.Add(demand.QueuedSize), account.Limit)
	unallocated := account.Unallocated()
	change := Change{Team: account.Team}
	change.Release = amountToRelease(account, zone, zones, demand)
	if change.Release.Zero() {
		free := unallocated.Sub(reservedForOthers(account, zone, zones))
		takenForDemand := amountToTake(needed, held, free)
		change.Take = takenForDemand
		if account.WantedByOthers(zone).Zero() {
			takenForReserve := amountToTake(evenShare, held.Add(takenForDemand), free.Sub(takenForDemand))
			change.Take = takenForDemand.Add(takenForReserve)
		}
		change.Want = needed.Sub(held.Add(change.Take)).Max(sizer.Size{})
	}
	unchanged := change.Release.Zero() && change.Take.Zero() && change.Want == account.wantOf(zone)
	return change, !unchanged
}

// amountToTake returns how much of the free capacity a zone that holds held takes to reach target.
func amountToTake(target, held, free sizer.Size) sizer.Size {
	return target.Sub(held).Max(sizer.Size{}).Min(free.Max(sizer.Size{}))
}

// reservedForOthers returns the capacity that the other zones still need to reach their floors.
func reservedForOthers(account Account, zone string, zones int) sizer.Size {
	floor := Floor(account, zones)
	reserved := floor.Mul(int64(max(0, zones-1)))
	for _, slice := range account.Slices {
		if slice.Zone != zone {
			reserved = reserved.Sub(slice.Held.Min(floor))
		}
	}
	return reserved.Max(sizer.Size{})
}

// Floor returns the part of the limit that a zone never releases unless the limit is lowered: a quarter of an
// even share.
func Floor(account Account, zones int) sizer.Size {
	return account.Limit.Div(int64(floorDivisor * max(1, zones)))
}

const floorDivisor = 4

// UsableSlice returns the capacity within which a zone may start work: its slice or, while the slices add up to
// more than a lowered limit, no more than an even share. So each zone's use falls to its even share as tasks end.
func UsableSlice(account Account, zone string, zones int) sizer.Size {
	held := account.Held(zone)
	unallocated := account.Unallocated()
	evenShare := account.Limit.Div(int64(max(1, zones)))
	if unallocated.MilliCores < 0 {
		held.MilliCores = min(held.MilliCores, evenShare.MilliCores)
	}
	if unallocated.MemoryMB < 0 {
		held.MemoryMB = min(held.MemoryMB, evenShare.MemoryMB)
	}
	if unallocated.Accelerators < 0 {
		held.Accelerators = min(held.Accelerators, evenShare.Accelerators)
	}
	return held
}

// amountToRelease returns how much of its slice a zone releases under the rules of Plan.
func amountToRelease(account Account, zone string, zones int, demand Demand) sizer.Size {
	held := account.Held(zone)
	unallocated := account.Unallocated()
	excess := sizer.Size{}.Sub(unallocated).Max(sizer.Size{})
	if !excess.Zero() {
		evenShare := account.Limit.Div(int64(max(1, zones)))
		return held.Sub(demand.Used.Max(evenShare)).Max(sizer.Size{}).Min(excess)
	}
	needed := clearUnlimited(demand.Used.Add(demand.QueuedSize), account.Limit)
	unmet := account.WantedByOthers(zone).Sub(unallocated.Max(sizer.Size{})).Max(sizer.Size{})
	spare := held.Sub(needed.Max(Floor(account, zones))).Max(sizer.Size{})
	return spare.Min(unmet)
}

// wantOf returns the unmet demand that a zone last recorded.
func (account Account) wantOf(zone string) sizer.Size {
	for _, slice := range account.Slices {
		if slice.Zone == zone {
			return slice.Want
		}
	}
	return sizer.Size{}
}
