package forward

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// countingWriter counts the bytes written.
type countingWriter struct{ n int64 }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.n += int64(len(p))
	return len(p), nil
}

// BenchmarkServe measures a request that is answered, one that is refused since its model cannot be loaded in time, and
// one that is refused under overload: the work of the forwarder, with fakes behind it.
func BenchmarkServe(b *testing.B) {
	for _, c := range []struct {
		name, model string
		admit       float64
	}{{"answered", "warm", 1}, {"refused=late", "cold", 1}, {"refused=overload", "warm", 0}} {
		b.Run(c.name, func(b *testing.B) {
			f := newFixture(b, reply{status: 200, events: true, body: threeEvents})
			log := &countingWriter{}
			f.forwarder.log = logrus.New()
			f.forwarder.log.(*logrus.Logger).SetOutput(log)
			f.forwarder.log.(*logrus.Logger).SetFormatter(&logrus.TextFormatter{DisableColors: true})
			f.dir.Config().Match("h", "/stream/").Priority = 1
			f.dir.ApplyViews(1, nil, nil, time.Now())
			f.dir.ApplyAdmissions(map[string]float64{"warm": c.admit})
			f.placer.place = Place{Ready: clock.Now().Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				f.servers.attempts = f.servers.attempts[:0]
				f.placer.requests = f.placer.requests[:0]
				_ = f.forwarder.Serve(b.Context(), &serving.Request{
					ID: "request-1", Method: "POST", Host: "h", Target: "/stream/x", Unit: serving.Unit{Model: c.model}, Timeout: 5 * time.Second, Arrived: clock.Now(),
				}, httptest.NewRecorder())
			}
			b.ReportMetric(float64(log.n)/float64(b.N), "logbytes/op")
		})
	}
}
