package declaration_test

import (
	"testing"

	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/internal/deployments"
)

// BenchmarkParse measures the cost of parsing a declaration of the size projected
// in two years (deployments.TwoYears). Each instance parses a declaration once when it accepts it.
func BenchmarkParse(b *testing.B) {
	source := deployments.TwoYears()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := declaration.Parse("bench", source); err != nil {
			b.Fatal(err)
		}
	}
}
