// Package placement finds endpoints with room.
package placement

import "github.com/hornbeamworks/hornbeam/model"

// Fleet says what a set of endpoints could hold if they were empty. Endpoints
// of equal capacity are kept as one shape.
type Fleet struct {
	shapes []shape
}

// shape is a capacity with its number of endpoints in one failure domain.
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

// Holds reports whether some failure domain could hold count tasks of the size
// at once.
func (f *Fleet) Holds(size model.Resources, count int) bool {
	for i := range f.shapes {
		if f.holds(f.shapes[i].domain, size) >= int64(count) {
			return true
		}
	}
	return false
}

// holds returns how many tasks of the size the domain could hold.
func (f *Fleet) holds(domain model.DomainName, size model.Resources) int64 {
	total := int64(0)
	for i := range f.shapes {
		if s := &f.shapes[i]; s.domain == domain {
			total += s.count * Fits(size, s.capacity)
		}
	}
	return total
}

// Clamp returns size, lowered to the largest capacity that holds declared.
func (f *Fleet) Clamp(size, declared model.Resources) model.Resources {
	best := declared
	for i := range f.shapes {
		capacity := &f.shapes[i].capacity
		if !declared.Fits(*capacity) {
			continue
		}
		lowered := size
		for r := range lowered {
			lowered[r] = min(lowered[r], capacity[r])
		}
		if best.Fits(lowered) {
			best = lowered
		}
	}
	return best
}

// manyFit is what Fits returns for a size of nothing.
const manyFit = 1 << 20

// Fits returns how many tasks of the size fit the room.
func Fits(size, room model.Resources) int64 {
	count := int64(manyFit)
	for r := range size {
		if room[r] < 0 {
			return 0
		}
		if size[r] > 0 {
			count = min(count, room[r]/size[r])
		}
	}
	return count
}
