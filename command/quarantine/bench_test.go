package quarantine

import (
	"encoding/gob"
	"fmt"
	"testing"

	"github.com/martenport/martenport/serving"
)

// endOfDomain returns a ledger that has heard of the end of servers with so many requests.
func endOfDomain(requests int) *Ledger {
	l := NewLedger()
	for n := range requests {
		b := BrokenAttempt{Fingerprint: serving.Fingerprint(fmt.Sprintf("%032x", n)), Subject: "POST host.example/path/of/some/length/3f2a model-name/a12"}
		b.Server = serving.Server{ID: fmt.Sprintf("i-%010x", n%30), Born: 1773379172019, Version: "v1"}
		l.Ended(b, start)
	}
	return l
}

// BenchmarkExchange is what a report and its answer cost when there is nothing new, with no
// record and with one for each request that ran on 30 servers that ended together. Bytes are
// those of one record on its way.
func BenchmarkExchange(b *testing.B) {
	for _, requests := range []int{0, 400} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			l, other := endOfDomain(requests), NewLedger()
			var link Link
			bytes := 0
			encoder := gob.NewEncoder(counting{&bytes})
			_ = encoder.Encode(Message{}) // the types are sent once for each connection
			bytes = 0
			for range 2 {
				m := l.Tell(link, start)
				_ = encoder.Encode(m)
				answer, _ := other.Answer(m, start)
				l.Told(&link, m, answer, start)
			}
			for b.Loop() {
				m := l.Tell(link, start)
				answer, _ := other.Answer(m, start)
				l.Told(&link, m, answer, start)
			}
			b.ReportMetric(float64(bytes)/float64(max(1, requests)), "B/record")
		})
	}
}

type counting struct{ n *int }

func (c counting) Write(p []byte) (int, error) {
	*c.n += len(p)
	return len(p), nil
}
