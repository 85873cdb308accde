// Package rendezvous assigns keys to names by rendezvous (highest random weight)
// hashing (Thaler and Ravishankar, 1998). Instances with the same list of names make
// the same choice without communication, and adding or removing a name moves only
// the keys of that name. The choice divides work among instances; safety must not
// depend on it, since instances may have different lists.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator makes the hash inputs of ("ab", "c") and ("a", "bc") distinct.
const separator = "\x00"

// Choose returns the name with the highest weight for key, or "" if names is empty.
// Ties go to the lexically smallest name.
func Choose(key string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range names {
		w := weight(key, name)
		if best == "" || w > bestWeight || (w == bestWeight && name < best) {
			best, bestWeight = name, w
		}
	}
	return best
}

// weight hashes key and name and mixes the bits of the result, so that inputs which
// differ in one bit have unrelated weights.
func weight(key, name string) uint64 {
	h := xxhash.Sum64String(key + separator + name)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Top returns the n items whose names have the highest weights for key, in the order of items.
// Items of equal weight are chosen in order of their names.
func Top[T any](key string, items []T, n int, name func(T) string) []T {
	if n >= len(items) {
		return items
	}
	type ranked struct {
		index  int
		name   string
		weight uint64
	}
	order := make([]ranked, len(items))
	for i, item := range items {
		order[i] = ranked{index: i, name: name(item), weight: weight(key, name(item))}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	order = order[:max(0, n)]
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.index, b.index) })
	chosen := make([]T, 0, len(order))
	for _, r := range order {
		chosen = append(chosen, items[r.index])
	}
	return chosen
}

// Rank sorts items by the weights of their names for key, the highest first. Items of equal weight are sorted by name.
func Rank[T any](key string, items []T, name func(T) string) {
	slices.SortFunc(items, func(a, b T) int {
		return cmp.Or(cmp.Compare(weight(key, name(b)), weight(key, name(a))), cmp.Compare(name(a), name(b)))
	})
}
