package holder

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// TestWeightStorePromisesAreCounted: by which part of its time a load was promised wrongly
// is on the metrics address, whether it took longer or shorter.
func TestWeightStorePromisesAreCounted(t *testing.T) {
	set := metrics.NewSet()
	c := NewCounts(set)
	c.weightStore(10*time.Second, 20*time.Second)
	c.weightStore(30*time.Second, 20*time.Second)
	c.weightStore(30*time.Second, 0)
	var text strings.Builder
	set.WritePrometheus(&text)
	for _, want := range []string{"martenport_weight_store_promise_error_ratio_sum 1\n", "martenport_weight_store_promise_error_ratio_count 2\n"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in\n%s", want, text.String())
		}
	}
}
