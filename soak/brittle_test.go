package soak

import "testing"

// TestEndsAreCountedByPeriod: the check must find a period in which more than two servers of a service and a tenth of them ended.
func TestEndsAreCountedByPeriod(t *testing.T) {
	for name, c := range map[string]struct {
		periods []int
		engines int
		found   int
	}{
		"none": {[]int{0, 0}, 3, 0}, "two of three": {[]int{2, 0}, 3, 0}, "three of three": {[]int{0, 3}, 3, 1},
		"two in each": {[]int{2, 2}, 3, 0}, "three of ten": {[]int{3}, 10, 0}, "four of ten": {[]int{4, 4}, 10, 2},
	} {
		log := newBrittleServices()
		for _, n := range c.periods {
			log.set(engineService, true, true)
			log.set(mainService, true, true)
			for range n {
				log.recordEnd(engineService)
			}
			log.recordEnd(mainService)
			log.set(engineService, false, false)
			log.set(mainService, false, false)
		}
		if found := log.violations(map[string]int{engineService: c.engines, mainService: 2}); len(found) != c.found {
			t.Errorf("%s: %v", name, found)
		}
	}
}
