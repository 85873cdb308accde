package serving

import "math"

// Weight is how much a request of a priority counts against one of priority 1. Routes
// state a rank and no worth; each rank counts a third of the one before.
func Weight(priority int) float64 { return math.Pow(3, float64(1-priority)) }
