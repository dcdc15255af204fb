package budgeter

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	testBytes  = 12 << 20
	largeBytes = 1536 << 10
)

// assertClaim claims memory and checks whether there is some. evicted counts the evictions of the claim.
func assertClaim(t *testing.T, budget *Budget, size int64, found bool, evicted *int) *Claim {
	t.Helper()
	claim, err := budget.Claim(size, func() { *evicted++ })
	if found && err != nil || !found && !ErrFull.Has(err) {
		t.Fatalf("claim of %d bytes: %v, want memory: %t", size, err, found)
	}
	return claim
}

// fill claims all memory for large bodies.
func fill(t *testing.T, budget *Budget, evicted *int) []*Claim {
	t.Helper()
	var claims []*Claim
	const size = largeBytes
	for range budget.large.capacity / size {
		claims = append(claims, assertClaim(t, budget, size, true, evicted))
	}
	assertClaim(t, budget, size, false, evicted)
	return claims
}

// TestLargeBodies checks that large bodies leave room for small ones, give way once they are late, and keep their memory once they
// have arrived.
func TestLargeBodies(t *testing.T) {
	t.Run("leaveRoomForSmall", func(t *testing.T) {
		evicted := 0
		budget := New(testBytes)
		fill(t, budget, &evicted)
		for range budget.small.capacity / smallBytes {
			assertClaim(t, budget, smallBytes, true, &evicted)
		}
		if evicted > 0 {
			t.Errorf("%d evicted", evicted)
		}
	})
	t.Run("giveWayWhenLate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			first, others := 0, 0
			budget := New(testBytes)
			late := assertClaim(t, budget, largeBytes, true, &first)
			time.Sleep(minEvictionAge)
			for range budget.large.capacity/largeBytes - 1 {
				assertClaim(t, budget, largeBytes, true, &others)
			}
			assertClaim(t, budget, largeBytes, true, &others)
			if first != 1 || others != 0 {
				t.Errorf("the late one was evicted %d times, others %d times", first, others)
			}
			if err := late.Arrived(); !ErrEvicted.Has(err) {
				t.Errorf("arrived after its eviction: %v", err)
			}
			if err := late.Grow(2 * largeBytes); !ErrEvicted.Has(err) {
				t.Errorf("grew after its eviction: %v", err)
			}
			late.Release()
		})
	})
	t.Run("keptOnceArrived", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			evicted := 0
			budget := New(testBytes)
			for _, claim := range fill(t, budget, &evicted) {
				if err := claim.Arrived(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Hour)
			assertClaim(t, budget, largeBytes, false, &evicted)
			if evicted > 0 {
				t.Errorf("%d evicted", evicted)
			}
		})
	})
	t.Run("largestAlone", func(t *testing.T) {
		evicted := 0
		budget := New(testBytes)
		assertClaim(t, budget, budget.MaxBytes(), true, &evicted)
		assertClaim(t, New(testBytes), budget.MaxBytes()+1, false, &evicted)
	})
}

// TestGrowing checks that a body that turns out to be large moves to the room of large ones, and that all memory is returned.
func TestGrowing(t *testing.T) {
	evicted := 0
	budget := New(testBytes)
	claim := assertClaim(t, budget, 24<<10, true, &evicted)
	for size := int64(48 << 10); size <= largeBytes; size *= 2 {
		if err := claim.Grow(size); err != nil {
			t.Fatal(err)
		}
	}
	if budget.small.used != 0 || budget.large.used != largeBytes {
		t.Errorf("in use: %d of the small room, %d of the large one", budget.small.used, budget.large.used)
	}
	if err := claim.Add(1000); err != nil || budget.Used() != largeBytes+1000 {
		t.Errorf("%d in use after 1000 more: %v", budget.Used(), err)
	}
	if err := claim.Add(testBytes); !ErrFull.Has(err) {
		t.Errorf("grew beyond the budget: %v", err)
	}
	claim.Release()
	claim.Release()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes in use after the release", used)
	}
}

// TestSmallBodies checks that small bodies also take what large ones leave.
func TestSmallBodies(t *testing.T) {
	evicted := 0
	budget := New(testBytes)
	for range budget.small.capacity/smallBytes + budget.large.capacity/smallBytes {
		assertClaim(t, budget, smallBytes, true, &evicted)
	}
	assertClaim(t, budget, smallBytes, false, &evicted)
}
