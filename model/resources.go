// Package model holds the types of the domain, shared by every role. It
// imports nothing of the project and knows no encoding beyond field tags.
package model

// Resource is one kind of capacity of an endpoint.
type Resource int

// The resources of an endpoint.
const (
	// CPU is processor time in thousandths of a core.
	CPU Resource = iota
	// Memory is main memory in MiB.
	Memory
	// Accelerators is a count of whole accelerators.
	Accelerators
	// Slots is a count of task slots.
	Slots
	// Connections is a count of connections to the endpoint.
	Connections
	// NumResources is the number of resources.
	NumResources
)

// Resources is an amount of each resource, in the unit of each.
type Resources [NumResources]int64

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

// Fits reports whether r is at most room in every resource.
func (r Resources) Fits(room Resources) bool {
	for i := range r {
		if r[i] > room[i] {
			return false
		}
	}
	return true
}

// IsZero reports whether every amount is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// DominantShare returns the largest fraction that r takes of total, over the
// resources that total has. It is between 0 and 1 when r fits total.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for i := range r {
		if total[i] > 0 {
			share = max(share, float64(r[i])/float64(total[i]))
		}
	}
	return share
}
