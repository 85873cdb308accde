package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/rendezvous"
	"github.com/martenport/martenport/table"
)

// ringPartners is the number of instances of the own failure domain from which each instance
// requests changes. They are its successors, at increasing distances, on a ring of instances sorted
// by the hashes of their names. Since the ring is closed, each instance also receives requests from
// as many.
const ringPartners = 3

// Partners returns the instances from which self requests changes: ringPartners of its own failure
// domain and one of each other domain. Their number grows only with the number of domains, not with
// the number of instances.
func Partners(self table.Member, alive []table.Member) []table.Member {
	domains := map[string][]table.Member{}
	for _, m := range alive {
		if m.Name != self.Name {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
		}
	}
	out := ringNeighbours(self, domains[self.FailureDomain])
	delete(domains, self.FailureDomain)
	for _, members := range domains {
		chosen := rendezvous.Choose(self.Name, table.Names(members))
		i := slices.IndexFunc(members, func(m table.Member) bool { return m.Name == chosen })
		out = append(out, members[i])
	}
	return out
}

func ringNeighbours(self table.Member, others []table.Member) []table.Member {
	ring := slices.Clone(others)
	start := xxhash.Sum64String(self.Name)
	slices.SortFunc(ring, func(a, b table.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Name)-start, xxhash.Sum64String(b.Name)-start)
	})
	var out []table.Member
	for i, step := 0, 1; i < len(ring) && len(out) < ringPartners; i, step = i+step, step*ringStride {
		out = append(out, ring[i])
	}
	return out
}

// ringStride is the factor by which the steps on the ring grow. Partners are 1, 5 and 21 places
// away, which keeps the path across a domain of 83 instances to a few hops.
const ringStride = 4
