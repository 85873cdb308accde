package declaration_test

import (
	"testing"

	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/internal/deployments"
)

// BenchmarkParse measures what an instance spends on one accepted declaration.
func BenchmarkParse(b *testing.B) {
	source := deployments.TwoYears()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := declaration.Parse("bench", source); err != nil {
			b.Fatal(err)
		}
	}
}
