// Package sizer defines amounts of resources: processor cores, memory and accelerators.
package sizer

import (
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("sizer")

// Size is an amount of each kind of resource.
type Size struct {
	MilliCores   int64 `json:"milliCores"`
	MemoryMB     int64 `json:"memoryMB"`
	Accelerators int64 `json:"accelerators"`
}

// Add returns the sum of both sizes.
func (size Size) Add(other Size) Size {
	return Size{
		MilliCores:   size.MilliCores + other.MilliCores,
		MemoryMB:     size.MemoryMB + other.MemoryMB,
		Accelerators: size.Accelerators + other.Accelerators,
	}
}

// Sub returns size minus other. Members of the result may be negative.
func (size Size) Sub(other Size) Size {
	return Size{
		MilliCores:   size.MilliCores - other.MilliCores,
		MemoryMB:     size.MemoryMB - other.MemoryMB,
		Accelerators: size.Accelerators - other.Accelerators,
	}
}

// Mul returns the size multiplied by n.
func (size Size) Mul(n int64) Size {
	return Size{
		MilliCores:   size.MilliCores * n,
		MemoryMB:     size.MemoryMB * n,
		Accelerators: size.Accelerators * n,
	}
}

// Div returns the size divided by n, rounded down.
func (size Size) Div(n int64) Size {
	return Size{
		MilliCores:   size.MilliCores / n,
		MemoryMB:     size.MemoryMB / n,
		Accelerators: size.Accelerators / n,
	}
}

// Min returns the memberwise minimum of both sizes.
func (size Size) Min(other Size) Size {
	return Size{
		MilliCores:   min(size.MilliCores, other.MilliCores),
		MemoryMB:     min(size.MemoryMB, other.MemoryMB),
		Accelerators: min(size.Accelerators, other.Accelerators),
	}
}

// Max returns the memberwise maximum of both sizes.
func (size Size) Max(other Size) Size {
	return Size{
		MilliCores:   max(size.MilliCores, other.MilliCores),
		MemoryMB:     max(size.MemoryMB, other.MemoryMB),
		Accelerators: max(size.Accelerators, other.Accelerators),
	}
}

// Fits reports whether size fits into capacity: no member of size exceeds that of capacity.
func (size Size) Fits(capacity Size) bool {
	return size.MilliCores <= capacity.MilliCores &&
		size.MemoryMB <= capacity.MemoryMB &&
		size.Accelerators <= capacity.Accelerators
}

// Zero reports whether all members are zero.
func (size Size) Zero() bool {
	return size == Size{}
}

// ExcessReason returns a text that names the first member of size that exceeds that of capacity, such as
// "memoryMB 512 exceeds 256", or "" if none does.
func (size Size) ExcessReason(capacity Size) string {
	switch {
	case size.MilliCores > capacity.MilliCores:
		return fmt.Sprintf("milliCores %d exceeds %d", size.MilliCores, capacity.MilliCores)
	case size.MemoryMB > capacity.MemoryMB:
		return fmt.Sprintf("memoryMB %d exceeds %d", size.MemoryMB, capacity.MemoryMB)
	case size.Accelerators > capacity.Accelerators:
		return fmt.Sprintf("accelerators %d exceeds %d", size.Accelerators, capacity.Accelerators)
	}
	return ""
}

// DominantShare returns the largest of the fractions that size takes of each resource of total, from 0 to 1 if size
// fits into total. A resource of which total has none counts as 0.
// See Ghodsi et al., "Dominant Resource Fairness" (NSDI 2011).
func (size Size) DominantShare(total Size) float64 {
	share := fraction(size.MilliCores, total.MilliCores)
	share = max(share, fraction(size.MemoryMB, total.MemoryMB))
	return max(share, fraction(size.Accelerators, total.Accelerators))
}

// String formats the size for log lines and messages, such as "1.5c 512MB 1a" for 1.5 cores, 512 MB and 1 accelerator.
func (size Size) String() string {
	text := fmt.Sprintf("%gc %dMB", float64(size.MilliCores)/1000, size.MemoryMB)
	if size.Accelerators != 0 {
		text += fmt.Sprintf(" %da", size.Accelerators)
	}
	return text
}

// UnmarshalJSON decodes a size and returns an error if a member is negative.
func (size *Size) UnmarshalJSON(data []byte) error {
	type plain Size
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode size: %w", err)
	}
	if decoded.MilliCores < 0 || decoded.MemoryMB < 0 || decoded.Accelerators < 0 {
		return Error.New("size has a negative member: %s", data)
	}
	*size = Size(decoded)
	return nil
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
