package escrow

import "slices"

// fairParts splits limit among shards with the given wants by max-min fairness,
// and then the surplus in equal parts. Shards that are not in service get
// nothing. The sum of the result is at most limit.
func fairParts(limit int64, wants []int64, inService []bool) []int64 {
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
	remaining := max(limit, 0)
	for rank, i := range order {
		parts[i] = min(wants[i], remaining/int64(len(order)-rank))
		remaining -= parts[i]
	}
	addEqualParts(remaining, parts, inService, len(order))
	return parts
}

// addEqualParts adds surplus in equal parts to the shards in service, of which
// there are the given number. The remainder goes to the first ones, one unit each.
func addEqualParts(surplus int64, parts []int64, inService []bool, shards int) {
	if shards == 0 {
		return
	}
	each, remainder := surplus/int64(shards), surplus%int64(shards)
	for i := range parts {
		if !inService[i] {
			continue
		}
		parts[i] += each
		if remainder > 0 {
			parts[i]++
			remainder--
		}
	}
}
