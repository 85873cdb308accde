package holder

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// TestWeightStoreLoadTimeErrorIsExported: the relative error of the predicted duration of loads from the weight
// store is exported as a metric, for loads that took longer and for those that took less time.
func TestWeightStoreLoadTimeErrorIsExported(t *testing.T) {
	set := metrics.NewSet()
	c := NewMetrics(set)
	c.observeWeightStoreLoad(10*time.Second, 20*time.Second)
	c.observeWeightStoreLoad(30*time.Second, 20*time.Second)
	c.observeWeightStoreLoad(30*time.Second, 0)
	var text strings.Builder
	set.WritePrometheus(&text)
	for _, want := range []string{"martenport_weight_store_promise_error_ratio_sum 1\n", "martenport_weight_store_promise_error_ratio_count 2\n"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("metrics lack %q:\n%s", want, text.String())
		}
	}
}
