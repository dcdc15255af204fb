package limiter

import "ebonyshunt.org/library/sizer"

// Demand is what a zone runs and has queued of a team.
type Demand struct {
	Team   string
	Used   sizer.Size
	Queued sizer.Size
}

// Plan returns the change that a zone asks of an account, and false when it asks nothing.
//
// A zone keeps an even part of the limit as long as nobody lacks it, so that it can go on alone when it
// is cut off; it takes none of that back before those who lack some, and leaves the other zones' floors
// in the pool. It releases what it does not use to zones that lack some, down to its floor, and whatever
// is unused when the limit was lowered.
func Plan(account Account, zone string, zones int, demand Demand) (Change, bool) {
	even := account.Limit.Div(int64(max(1, zones)))
	held := account.Held(zone)
	needed := mask(demand.Used.Add(demand.Queued), account.Limit)
	pool := account.Pool()
	change := Change{Team: account.Team}
	change.Release = release(account, zone, zones, demand)
	if change.Release.Zero() {
		free := pool.Sub(spoken(account, zone, zones))
		lacking := take(needed, held, free)
		reserve := take(even, held.Add(lacking), free.Sub(lacking).Sub(account.Wanted(zone)))
		change.Take = lacking.Add(reserve)
		change.Want = needed.Sub(held.Add(change.Take)).Max(sizer.Size{})
	}
	idle := change.Release.Zero() && change.Take.Zero() && change.Want == account.want(zone)
	return change, !idle
}

// take returns what a zone that holds some takes towards a goal from what is free.
func take(goal, held, free sizer.Size) sizer.Size {
	return goal.Sub(held).Max(sizer.Size{}).Min(free.Max(sizer.Size{}))
}

// spoken returns the part of the pool that other zones need for their floors.
func spoken(account Account, zone string, zones int) sizer.Size {
	floor := Floor(account, zones)
	left := floor.Times(int64(max(0, zones-1)))
	for _, slice := range account.Slices {
		if slice.Zone != zone {
			left = left.Sub(slice.Held.Min(floor))
		}
	}
	return left.Max(sizer.Size{})
}

// Floor is what a zone never releases while the limit stays: a quarter of an even part.
func Floor(account Account, zones int) sizer.Size {
	return account.Limit.Div(int64(floorDivisor * max(1, zones)))
}

const floorDivisor = 4

// Spendable returns what a zone may start work within. While the slices add up to more than a lowered
// limit, that is no more than an even part, so that each zone's use falls to it as work ends.
func Spendable(account Account, zone string, zones int) sizer.Size {
	held := account.Held(zone)
	pool := account.Pool()
	even := account.Limit.Div(int64(max(1, zones)))
	if pool.MilliCores < 0 {
		held.MilliCores = min(held.MilliCores, even.MilliCores)
	}
	if pool.MemoryMB < 0 {
		held.MemoryMB = min(held.MemoryMB, even.MemoryMB)
	}
	if pool.Accelerators < 0 {
		held.Accelerators = min(held.Accelerators, even.Accelerators)
	}
	return held
}

func release(account Account, zone string, zones int, demand Demand) sizer.Size {
	held := account.Held(zone)
	pool := account.Pool()
	excess := sizer.Size{}.Sub(pool).Max(sizer.Size{})
	if !excess.Zero() {
		even := account.Limit.Div(int64(max(1, zones)))
		return held.Sub(demand.Used.Max(even)).Max(sizer.Size{}).Min(excess)
	}
	needed := mask(demand.Used.Add(demand.Queued), account.Limit)
	lacking := account.Wanted(zone).Sub(pool.Max(sizer.Size{})).Max(sizer.Size{})
	spare := held.Sub(needed.Max(Floor(account, zones))).Max(sizer.Size{})
	return spare.Min(lacking)
}

func (account Account) want(zone string) sizer.Size {
	for _, slice := range account.Slices {
		if slice.Zone == zone {
			return slice.Want
		}
	}
	return sizer.Size{}
}
