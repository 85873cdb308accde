package serving

import "math"

// Weight returns the weight of a request with the given priority relative to one with priority 1. Routes state only
// a rank and no weight; each rank counts a third of the rank above it.
func Weight(priority int) float64 { return math.Pow(3, float64(1-priority)) }
