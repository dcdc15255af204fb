// Package accountant counts what teams use of a service, by class of priority, and divides the service among them.
package accountant

import (
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/divider"
	"ebonyshunt.org/library/sizer"
)

// Classes is the number of classes of priority by which shares are computed. Priorities from Classes-1 on are one class. The share
// of a class counts the work of this class and of those before it, so that a team's batch work does not delay its urgent work.
const Classes = 4

// ClassOf returns the class of a priority, 0 being the most urgent one.
func ClassOf(priority int) int { return min(max(priority, 0), Classes-1) }

// Amounts are sizes by class. Each of them counts the classes up to that one.
type Amounts [Classes]sizer.Size

// Add adds a size to the amounts of a class and those after it.
func (amounts *Amounts) Add(class int, size sizer.Size) {
	for ; class < Classes; class++ {
		amounts[class] = amounts[class].Add(size)
	}
}

// Sub undoes Add.
func (amounts *Amounts) Sub(class int, size sizer.Size) { amounts.Add(class, sizer.Size{}.Sub(size)) }

// Account is a team's use of a service.
type Account struct {
	Team     string
	Used     Amounts // by the open runs
	Drained  Amounts // by the open runs in drained zones
	Stopping Amounts // by the open runs that are being stopped
	Waiting  Amounts // tasks that wait
	recent   [Classes]divider.Average
	shares   [Classes]divider.Share
	service  *Service
}

// InUse returns what the team uses of the service in a class and those before it, outside of drained zones.
func (account *Account) InUse(class int) sizer.Size {
	return account.Used[class].Sub(account.Drained[class])
}

// UsedShare returns InUse as a dominant share of the service, from 0 to 1 unless the team uses more than the service has.
func (account *Account) UsedShare(class int) float64 {
	return account.InUse(class).DominantShare(account.service.Capacity)
}

// Recent returns the decayed average of UsedShare.
func (account *Account) Recent(class int) float64 { return float64(account.recent[class]) }

// Share returns the team's share of the service as Divide last set it.
func (account *Account) Share(class int) divider.Share { return account.shares[class] }

// Service is a service that is divided among teams.
type Service struct {
	Capacity  sizer.Size // of the workers outside of drained zones that have runs or can take some
	accounts  []*Account // by team
	updatedAt time.Time
}

// NewService returns a service without accounts, whose averages begin now.
func NewService(now time.Time) Service { return Service{updatedAt: now} }

// Add adds the account of a team that has none yet.
func (service *Service) Add(account *Account) {
	account.service = service
	service.accounts = append(service.accounts, account)
	slices.SortFunc(service.accounts, func(a, b *Account) int { return strings.Compare(a.Team, b.Team) })
}

// Advance adds the time since the last call to the averages, and returns that time. What waits and what is in drained zones has to be counted
// again.
func (service *Service) Advance(now time.Time) time.Duration {
	elapsed := now.Sub(service.updatedAt)
	retained := divider.Retained(elapsed)
	service.updatedAt = now
	for _, account := range service.accounts {
		for class := range account.recent {
			account.recent[class].Add(account.UsedShare(class), retained)
		}
		account.Waiting, account.Drained = Amounts{}, Amounts{}
	}
	return elapsed
}

// Terms are the conditions on which a team gets a part of a service.
type Terms struct {
	Weight float64
	Cap    sizer.Size // maximum size of the team's runs in the service, 0 for a resource without limit
}

// Divide divides the service among the teams that have or ask for work of a class or those before it.
func (service *Service) Divide(class int, termsOf func(*Account) Terms) {
	demands := make([]divider.Demand, 0, len(service.accounts))
	active := make([]*Account, 0, len(service.accounts))
	var held sizer.Size // by the classes after this one
	for _, account := range service.accounts {
		account.shares[class] = divider.Share{}
		used := account.InUse(class)
		held = held.Add(account.InUse(Classes - 1)).Sub(used)
		if used.Zero() && account.Waiting[class].Zero() {
			continue
		}
		terms := termsOf(account)
		active = append(active, account)
		demands = append(demands, divider.Demand{
			Team: account.Team, Weight: terms.Weight, Cap: terms.Cap, Used: used,
			Recent: account.Recent(class), Waiting: account.Waiting[class].Max(sizer.Size{}),
		})
	}
	for index, share := range divider.Divide(divider.Pool{Capacity: service.Capacity, Held: held}, demands).Shares {
		active[index].shares[class] = share
	}
}
