package serving

import "math"

// Weight returns the weight of a request with the given priority relative to one with priority 1, whose weight
// is 1. Priority 0 is the highest; each priority counts a third of the one above it. The weight follows from the
// priority because the configuration states only priorities of requests.
func Weight(priority int) float64 { return math.Pow(3, float64(1-priority)) }
