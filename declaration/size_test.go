package declaration

import (
	"fmt"
	"strings"
	"testing"
)

// twoYears returns a declaration at the users' size in two years.
func twoYears() []byte {
	var b strings.Builder
	b.WriteString("failureDomains: [a, b, c, d]\nweightStore: {startsPerSecond: 30, streams: 40}\nengines:\n")
	for n := range 600 {
		fmt.Fprintf(&b, "  - {name: domain-engine-%03d, failureDomain: %c, address: \"10.120.130.%d:9000\", memory: 320GiB, fencing: true}\n", n, 'a'+n%4, n%250)
	}
	b.WriteString("models:\n")
	for n := range 790 {
		fmt.Fprintf(&b, "  - {name: customer-model-%04d, version: \"2026-11-%02d\", memory: 14GiB, maxReplicas: 3, deadline: 30s}\n", n, n%28)
	}
	b.WriteString("adapters:\n")
	for n := range 1600 {
		fmt.Fprintf(&b, "  - {name: customer-adapter-%04d, model: customer-model-%04d, version: \"2026-11-%02d\", memory: 256MiB}\n", n, n%790, n%28)
	}
	return []byte(b.String())
}

// BenchmarkParse measures what an instance spends on one accepted declaration.
func BenchmarkParse(b *testing.B) {
	source := twoYears()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("bench", source); err != nil {
			b.Fatal(err)
		}
	}
}
