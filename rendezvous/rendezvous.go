// Package rendezvous chooses one of several names for a key by highest random
// weight hashing (Thaler and Ravishankar, 1998): instances with the same list
// choose alike without talking, and a change of the list moves only the keys
// of the name that came or went. It decides who acts, never who may act.
package rendezvous

import "github.com/cespare/xxhash/v2"

// separator keeps ("ab","c") and ("a","bc") apart.
const separator = "\x00"

// Choose returns the name that wins key, or "" when names is empty.
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

// weight mixes both strings and finalises, so that keys which differ in one
// bit have unrelated weights.
func weight(key, name string) uint64 {
	h := xxhash.Sum64String(key + separator + name)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
