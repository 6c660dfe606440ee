package escrow

import "slices"

// fair splits limit among shards with the given wants: by max-min fairness
// first, and what is left over in equal parts. Shards that are not in service
// get nothing. The result adds up to at most limit.
func fair(limit int64, wants []int64, inService []bool) []int64 {
	parts := make([]int64, len(wants))
	var order []int
	for i := range wants {
		if inService[i] {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if wants[a] < wants[b] {
			return -1
		}
		if wants[a] > wants[b] {
			return 1
		}
		return 0
	})
	left := max(limit, 0)
	for place, i := range order {
		parts[i] = min(wants[i], left/int64(len(order)-place))
		left -= parts[i]
	}
	spread(left, parts, inService, len(order))
	return parts
}

// spread adds left in equal parts to the shards in service; the first ones get
// what does not divide.
func spread(left int64, parts []int64, inService []bool, shards int) {
	if shards == 0 {
		return
	}
	each, extra := left/int64(shards), left%int64(shards)
	for i := range parts {
		if !inService[i] {
			continue
		}
		parts[i] += each
		if extra > 0 {
			parts[i]++
			extra--
		}
	}
}
