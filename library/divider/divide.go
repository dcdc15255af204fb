// Package divider divides a pool of workers among teams: weighted max-min fairness of dominant shares, by progressive
// filling. The dominant share of a team is the largest of the fractions that it takes of each resource of the pool.
// See Ghodsi et al., "Dominant Resource Fairness" (NSDI 2011).
package divider

import (
	"cmp"
	"math"
	"slices"

	"ebonyshunt.org/library/sizer"
)

// maxDebt limits the decayed use that counts against a team, as a multiple of its part by weight. It keeps a team that
// had the whole pool to itself at a third of its weight or more, so that its work goes on when others come.
const maxDebt = 2

// Pool is what is divided.
type Pool struct {
	Capacity sizer.Size // total capacity of the workers
	// Held is the size of the runs that the demands do not count and that keep their room for now. It lowers the shares that
	// the teams should have now.
	Held sizer.Size
}

// Demand is what a team has of a pool, and what it asks for.
type Demand struct {
	Team    string
	Weight  float64    // 1 if not above 0
	Cap     sizer.Size // maximum size of the team's runs in the pool, 0 for a resource without limit
	Used    sizer.Size // total size of the team's runs in the pool
	Recent  float64    // decayed average of the team's dominant share of the pool, see Average
	Waiting sizer.Size // total size of the team's waiting tasks
}

// Share is a team's part of a pool. All members are dominant shares of the pool's capacity, from 0 to 1 unless the team
// uses more than the pool has.
type Share struct {
	Team     string
	Now      float64 // share of the room not held that the team should have now, less if it has had much recently
	Entitled float64 // share that the team should have over time, regardless of recent use
	Used     float64
	GiveBack float64 // maximum share that the team has to give back to teams that wait below their entitled shares
}

// Division is the result of Divide.
type Division struct {
	Shares []Share // in the order of the demands
}

// Divide divides a pool. A team gets no more than it uses and asks for, and nothing that any team asks for stays
// undivided. Recent use lowers the share of a team only while others ask for the room.
func Divide(pool Pool, demands []Demand) Division {
	claims := newClaims(pool, demands)
	division := Division{Shares: make([]Share, len(demands))}
	for index := range demands {
		division.Shares[index] = Share{Team: demands[index].Team, Used: demands[index].Used.DominantShare(pool.Capacity)}
	}
	for index, share := range fill(claims, [resources]float64{}) {
		division.Shares[index].Entitled = share
	}
	lowerWeights(claims, demands)
	for index, share := range fill(claims, fractions(pool.Held, pool.Capacity)) {
		division.Shares[index].Now = share
	}
	division.setGiveBack(demands)
	return division
}

// setGiveBack sets what each team above its entitled share has to give back: no more than what all teams that wait
// below theirs are short of.
func (division Division) setGiveBack(demands []Demand) {
	short := 0.0
	for index, share := range division.Shares {
		if !demands[index].Waiting.Zero() {
			short += max(share.Entitled-share.Used, 0)
		}
	}
	for index := range division.Shares {
		share := &division.Shares[index]
		share.GiveBack = min(max(share.Used-share.Entitled, 0), short)
	}
}

// resources is the number of kinds of resources.
const resources = 3

// minNeed is the need from which on a resource that is used up holds a team back. The tasks of a team differ: a few that
// need such a resource must not hold back all others.
const minNeed = 0.05

// claim is a team's demand in the form that fill works with.
type claim struct {
	weight float64
	limit  float64            // maximum dominant share
	need   [resources]float64 // share of each resource, per dominant share, 0 below minNeed
}

func newClaims(pool Pool, demands []Demand) []claim {
	claims := make([]claim, len(demands))
	for index := range demands {
		demand := &demands[index]
		total := capped(demand.Used.Max(sizer.Size{}).Add(demand.Waiting.Max(sizer.Size{})), demand.Cap)
		claim := claim{weight: validWeight(demand.Weight), limit: total.DominantShare(pool.Capacity)}
		if claim.limit > 0 {
			claim.need = fractions(total, pool.Capacity)
			for resource := range claim.need {
				if claim.need[resource] /= claim.limit; claim.need[resource] < minNeed {
					claim.need[resource] = 0
				}
			}
		}
		claims[index] = claim
	}
	return claims
}

// lowerWeights divides the weights of teams by 1 plus their recent use, as a multiple of their part by weight. Teams with
// proportional recent use keep their shares, so in a steady load these tend to the weighted division.
func lowerWeights(claims []claim, demands []Demand) {
	total := 0.0
	for index := range claims {
		if claims[index].limit > 0 {
			total += claims[index].weight
		}
	}
	for index := range claims {
		if part := claims[index].weight / total; claims[index].limit > 0 && demands[index].Recent > 0 {
			claims[index].weight /= 1 + min(demands[index].Recent/part, maxDebt)
		}
	}
}

// fill returns the dominant share of each claim by progressive filling: all shares grow in proportion to the weights. A
// share stops growing at the claim's limit, or when a resource that it needs is used up. Held is the used share of each
// resource at the start.
func fill(claims []claim, held [resources]float64) []float64 {
	filling := newFilling(claims)
	filling.used = held
	for _, index := range filling.order {
		if filling.done[index] {
			continue
		}
		for {
			resource, level := filling.nextFull()
			if claims[index].limit/claims[index].weight <= level {
				filling.advance(claims[index].limit / claims[index].weight)
				filling.stop(index)
				break
			}
			filling.advance(level)
			filling.stopUsersOf(resource)
			if filling.done[index] {
				break
			}
		}
	}
	return filling.shares
}

// filling is the state of progressive filling.
type filling struct {
	claims []claim
	shares []float64
	done   []bool
	order  []int              // indexes of the claims, by the level at which they reach their limits
	level  float64            // dominant share per weight of the claims that are not done
	used   [resources]float64 // used share of each resource
	rate   [resources]float64 // growth of the used shares per level
	full   [resources]bool
}

func newFilling(claims []claim) *filling {
	filling := &filling{claims: claims, shares: make([]float64, len(claims)), done: make([]bool, len(claims)), order: make([]int, 0, len(claims))}
	for index := range claims {
		if claims[index].limit <= 0 {
			filling.done[index] = true
			continue
		}
		filling.order = append(filling.order, index)
	}
	slices.SortStableFunc(filling.order, func(a, b int) int {
		return cmp.Compare(claims[a].limit/claims[a].weight, claims[b].limit/claims[b].weight)
	})
	filling.sumRates()
	return filling
}

// sumRates computes the rates from the claims that are not done.
func (filling *filling) sumRates() {
	filling.rate = [resources]float64{}
	for index := range filling.claims {
		if !filling.done[index] {
			filling.addRate(index, filling.claims[index].weight)
		}
	}
}

func (filling *filling) addRate(index int, weight float64) {
	for resource := range filling.rate {
		filling.rate[resource] += weight * filling.claims[index].need[resource]
	}
}

// nextFull returns the resource that is used up first, and the level at which it is.
func (filling *filling) nextFull() (int, float64) {
	first, level := -1, math.Inf(1)
	for resource, rate := range filling.rate {
		if filling.full[resource] || rate <= 0 {
			continue
		}
		if at := filling.level + max(1-filling.used[resource], 0)/rate; at < level {
			first, level = resource, at
		}
	}
	return first, level
}

// advance raises the level.
func (filling *filling) advance(level float64) {
	for resource := range filling.used {
		filling.used[resource] += filling.rate[resource] * max(level-filling.level, 0)
	}
	filling.level = max(level, filling.level)
}

// stop fixes the share of a claim that reached its limit.
func (filling *filling) stop(index int) {
	filling.done[index] = true
	filling.shares[index] = filling.claims[index].limit
	filling.addRate(index, -filling.claims[index].weight)
}

// stopUsersOf fixes the shares of the claims that need a resource that is used up.
func (filling *filling) stopUsersOf(resource int) {
	filling.full[resource] = true
	for index := range filling.claims {
		if !filling.done[index] && filling.claims[index].need[resource] > 0 {
			filling.done[index] = true
			filling.shares[index] = filling.claims[index].weight * filling.level
		}
	}
	filling.sumRates()
}

// capped limits each resource of a size, where 0 means no limit.
func capped(size, limit sizer.Size) sizer.Size {
	apply := func(amount *int64, limit int64) {
		if limit > 0 {
			*amount = min(*amount, limit)
		}
	}
	apply(&size.MilliCores, limit.MilliCores)
	apply(&size.MemoryMB, limit.MemoryMB)
	apply(&size.Accelerators, limit.Accelerators)
	return size
}

func validWeight(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 1
}

// fractions returns the fraction that a size takes of each resource, 0 for a resource of which there is none.
func fractions(size, capacity sizer.Size) [resources]float64 {
	fraction := func(part, whole int64) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return [resources]float64{
		fraction(size.MilliCores, capacity.MilliCores), fraction(size.MemoryMB, capacity.MemoryMB), fraction(size.Accelerators, capacity.Accelerators),
	}
}
