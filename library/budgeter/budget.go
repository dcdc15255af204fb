// Package budgeter bounds the memory that the requests of all clients of a host take together.
package budgeter

import (
	"container/list"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrFull reports that there is no memory for a request now.
var ErrFull = errs.Class("memory for requests is in use")

// ErrEvicted reports that a request had to give its memory to others, since it took too long to arrive.
var ErrEvicted = errs.Class("memory of a slow request was given to others")

const (
	// smallBytes is the memory of the largest request that takes it from the part for small ones.
	smallBytes = 96 << 10
	// smallShare is the inverse of the part of the budget that is kept for small requests.
	smallShare = 3
	// minEvictionAge is the time that each request has to arrive before it gives its memory to others.
	minEvictionAge = time.Second
)

// Budget is an amount of memory that requests share. A part of it is kept for small ones, so that large ones cannot take it. While
// a part is in use, the oldest request that has not arrived completely gives way to a new one, and if there is none, the new
// one is refused.
type Budget struct {
	mu           sync.Mutex
	small, large room
}

// room is one part of a budget.
type room struct {
	capacity, used int64     // bytes
	arriving       list.List // claims of requests that have not arrived completely, the oldest first
}

// Claim is the part of a budget that one request holds.
type Claim struct {
	budget  *Budget
	room    *room
	bytes   int64
	since   time.Time
	element *list.Element // in room.arriving, nil once the request has arrived completely
	evict   func()
	evicted bool
}

// New returns a budget of a number of bytes of memory.
func New(bytes int64) *Budget {
	budget := &Budget{}
	budget.small.capacity = bytes / smallShare
	budget.large.capacity = bytes - budget.small.capacity
	return budget
}

// MaxBytes returns the largest number of bytes of memory that one request can have.
func (budget *Budget) MaxBytes() int64 { return budget.large.capacity }

// Used returns the bytes of memory that are claimed.
func (budget *Budget) Used() int64 {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.small.used + budget.large.used
}

// NewClaim returns a claim without any memory yet, see Claim.
func (budget *Budget) NewClaim(evict func()) *Claim {
	return &Claim{budget: budget, since: time.Now(), evict: evict}
}

// Claim claims a number of bytes of memory for a request. It returns an error of class ErrFull if there are not as many. The request is
// arriving until Arrived is called; until then evict may be called, from another goroutine, to end it. The claim has to be
// released.
func (budget *Budget) Claim(bytes int64, evict func()) (*Claim, error) {
	claim := budget.NewClaim(evict)
	if err := claim.Grow(bytes); err != nil {
		return nil, err
	}
	return claim, nil
}

// roomsFor returns the parts of the budget from which a request may take its memory, the preferred one first. Small ones may also take
// what large ones leave.
func (budget *Budget) roomsFor(bytes int64) []*room {
	if bytes <= smallBytes {
		return []*room{&budget.small, &budget.large}
	}
	return []*room{&budget.large}
}

// Add adds a number of bytes of memory to the claim. The errors are those of Grow.
func (claim *Claim) Add(bytes int64) error {
	claim.budget.mu.Lock()
	total := claim.bytes + bytes
	claim.budget.mu.Unlock()
	return claim.Grow(total)
}

// Grow changes the claim to a larger number of bytes of memory. After an error of class ErrFull the claim is as it was before, after one
// of class ErrEvicted it is empty.
func (claim *Claim) Grow(bytes int64) error {
	budget := claim.budget
	budget.mu.Lock()
	if claim.evicted {
		budget.mu.Unlock()
		return ErrEvicted.New("%d bytes", bytes)
	}
	target, evicted := budget.findRoom(bytes, claim)
	if target != nil {
		claim.moveTo(target, bytes)
	}
	budget.mu.Unlock()
	for _, other := range evicted {
		other.evict()
	}
	if target == nil {
		return ErrFull.New("%d bytes", bytes)
	}
	return nil
}

// findRoom returns a part of the budget that has the memory for a claim, and the claims that were evicted from it. It returns nil if
// there is none.
func (budget *Budget) findRoom(bytes int64, claim *Claim) (*room, []*Claim) {
	rooms := budget.roomsFor(bytes)
	for _, room := range rooms {
		if room.used+room.needed(bytes, claim) <= room.capacity {
			return room, nil
		}
	}
	evicted, found := rooms[0].makeRoom(rooms[0].needed(bytes, claim), claim)
	if !found {
		return nil, nil
	}
	return rooms[0], evicted
}

// needed returns how many bytes a claim needs beyond what it holds of this part.
func (room *room) needed(bytes int64, claim *Claim) int64 {
	if claim.room == room {
		return bytes - claim.bytes
	}
	return bytes
}

// makeRoom evicts as many of the oldest claims as have to give way for a number of bytes, and returns them. It evicts none and
// returns false if that would not suffice.
func (room *room) makeRoom(needed int64, keep *Claim) ([]*Claim, bool) {
	free := room.capacity - room.used
	now := time.Now()
	var evicted []*Claim
	for element := room.arriving.Front(); element != nil && free < needed; element = element.Next() {
		claim := element.Value.(*Claim)
		if claim == keep {
			continue
		}
		if now.Sub(claim.since) < minEvictionAge {
			break
		}
		free += claim.bytes
		evicted = append(evicted, claim)
	}
	if free < needed {
		return nil, false
	}
	for _, claim := range evicted {
		claim.evicted = true
		claim.leave()
	}
	return evicted, true
}

// moveTo makes the claim one of a part of the budget with a number of bytes.
func (claim *Claim) moveTo(target *room, bytes int64) {
	if target != claim.room {
		arriving := claim.room == nil || claim.element != nil
		claim.leave()
		claim.room = target
		if arriving {
			claim.element = target.insert(claim)
		}
	}
	target.used += bytes - claim.bytes
	claim.bytes = bytes
}

// insert adds a claim to those that are arriving, by its age.
func (room *room) insert(claim *Claim) *list.Element {
	for element := room.arriving.Back(); element != nil; element = element.Prev() {
		if !claim.since.Before(element.Value.(*Claim).since) {
			return room.arriving.InsertAfter(claim, element)
		}
	}
	return room.arriving.PushFront(claim)
}

// leave returns the memory of a claim to its part of the budget.
func (claim *Claim) leave() {
	if claim.room == nil {
		return
	}
	claim.room.used -= claim.bytes
	claim.bytes = 0
	if claim.element != nil {
		claim.room.arriving.Remove(claim.element)
		claim.element = nil
	}
	claim.room = nil
}

// Arrived records that the request has arrived completely, and no longer gives way to others. It returns an error of class ErrEvicted
// if it already did.
func (claim *Claim) Arrived() error {
	claim.budget.mu.Lock()
	defer claim.budget.mu.Unlock()
	if claim.evicted {
		return ErrEvicted.New("the request had arrived")
	}
	if claim.element != nil {
		claim.room.arriving.Remove(claim.element)
		claim.element = nil
	}
	return nil
}

// Release returns the memory to the budget.
func (claim *Claim) Release() {
	claim.budget.mu.Lock()
	defer claim.budget.mu.Unlock()
	claim.leave()
}
