// Package model defines the domain types shared by all processes. It imports no
// other package of the project and has no encoding beyond struct tags.
package model

// Resource is a type of endpoint resource.
type Resource int

// The resources of an endpoint.
const (
	// CPU is processor capacity in thousandths of a core.
	CPU Resource = iota
	// Memory is main memory in MiB.
	Memory
	// Accelerators is the number of accelerators, which are not divisible.
	Accelerators
	// Slots is the number of task slots.
	Slots
	// Connections is the number of connections to the endpoint.
	Connections
	// NumResources is the number of resource types.
	NumResources
)

// MaxAmount bounds each amount of a size, a capacity or a limit, in the resource's unit.
// Sums over a million endpoints, and over the tasks of a job, don't overflow.
const MaxAmount = 1 << 40

// Resources holds an amount of each resource, in that resource's unit.
type Resources [NumResources]int64

// InRange reports whether each amount is from 0 to MaxAmount.
func (r Resources) InRange() bool {
	for _, amount := range r {
		if amount < 0 || amount > MaxAmount {
			return false
		}
	}
	return true
}

// Add returns r plus other.
func (r Resources) Add(other Resources) Resources {
	for i := range r {
		r[i] += other[i]
	}
	return r
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	for i := range r {
		r[i] -= other[i]
	}
	return r
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	for i := range r {
		r[i] *= n
	}
	return r
}

// Max returns the larger of r and other for each resource.
func (r Resources) Max(other Resources) Resources {
	for i := range r {
		r[i] = max(r[i], other[i])
	}
	return r
}

// Fits reports whether no amount of r exceeds that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	for i := range r {
		if r[i] > capacity[i] {
			return false
		}
	}
	return true
}

// IsZero reports whether every amount is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// DominantShare returns the largest fraction of total that r uses, over the
// resources of which total is not zero. It is between 0 and 1 when r fits total.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for i := range r {
		if total[i] > 0 {
			share = max(share, float64(r[i])/float64(total[i]))
		}
	}
	return share
}
