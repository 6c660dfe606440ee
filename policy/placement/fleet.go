// Package placement searches for endpoints with enough available capacity and
// computes which sizes the endpoints of a fleet can hold at all. It does not
// decide the order of the work.
package placement

import "github.com/hornbeamworks/hornbeam/model"

// Fleet computes what a set of endpoints could hold if they were empty.
// Endpoints of equal capacity in one failure domain are stored as one shape.
type Fleet struct {
	shapes []shape
}

// shape is the number of endpoints of one capacity in one failure domain.
type shape struct {
	domain   model.DomainName
	capacity model.Resources
	count    int64
}

// Set replaces the endpoints.
func (f *Fleet) Set(endpoints []model.EndpointInfo) {
	f.Reset()
	for _, info := range endpoints {
		f.Add(info)
	}
}

// Reset removes all endpoints.
func (f *Fleet) Reset() { f.shapes = f.shapes[:0] }

// Add adds an endpoint.
func (f *Fleet) Add(info model.EndpointInfo) {
	for i := range f.shapes {
		s := &f.shapes[i]
		if s.domain == info.Domain && s.capacity == info.Capacity {
			s.count++
			return
		}
	}
	f.shapes = append(f.shapes, shape{domain: info.Domain, capacity: info.Capacity, count: 1})
}

// Empty reports whether there are no endpoints.
func (f *Fleet) Empty() bool { return len(f.shapes) == 0 }

// Holds reports whether any single failure domain could hold count tasks of the
// size at the same time.
func (f *Fleet) Holds(size model.Resources, count int) bool {
	for i := range f.shapes {
		if f.maxTasks(f.shapes[i].domain, size) >= int64(count) {
			return true
		}
	}
	return false
}

// maxTasks returns how many tasks of the size the domain could hold.
func (f *Fleet) maxTasks(domain model.DomainName, size model.Resources) int64 {
	total := int64(0)
	for i := range f.shapes {
		if s := &f.shapes[i]; s.domain == domain {
			total += s.count * FitCount(size, s.capacity)
		}
	}
	return total
}

// Clamp returns size, limited for each resource to the capacity of an endpoint
// that can hold declared: the largest such capacity, and never below declared.
func (f *Fleet) Clamp(size, declared model.Resources) model.Resources {
	best := declared
	for i := range f.shapes {
		capacity := &f.shapes[i].capacity
		if !declared.Fits(*capacity) {
			continue
		}
		clamped := size
		for r := range clamped {
			clamped[r] = min(clamped[r], capacity[r])
		}
		if best.Fits(clamped) {
			best = clamped
		}
	}
	return best
}

// zeroSizeCount is the result of Fits for a size of zero, and its maximum.
const zeroSizeCount = 1 << 20

// FitCount returns how many tasks of the size fit into the available capacity.
func FitCount(size, available model.Resources) int64 {
	count := int64(zeroSizeCount)
	for r := range size {
		if available[r] < 0 {
			return 0
		}
		if size[r] > 0 {
			count = min(count, available[r]/size[r])
		}
	}
	return count
}
