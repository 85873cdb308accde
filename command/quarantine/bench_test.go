package quarantine

import (
	"encoding/gob"
	"fmt"
	"testing"

	"github.com/martenport/martenport/serving"
)

// ledgerAfterCrashes returns a ledger with one crash for each of the given number of requests, on 30
// servers in turn.
func ledgerAfterCrashes(requests int) *Ledger {
	l := NewLedger()
	for n := range requests {
		b := BrokenAttempt{Fingerprint: serving.Fingerprint(fmt.Sprintf("%032x", n)), Subject: "POST host.example/path/of/some/length/3f2a model-name/a12"}
		b.Server = serving.Server{ID: fmt.Sprintf("i-%010x", n%30), Born: 1773379172019, Version: "v1"}
		l.RecordCrash(b, start)
	}
	return l
}

// BenchmarkExchange measures the cost of a message and its reply when there are no changes, with an
// empty ledger and with one record for each request that ran on 30 servers that crashed together.
// B/record is the encoded size of one record.
func BenchmarkExchange(b *testing.B) {
	for _, requests := range []int{0, 400} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			l, other := ledgerAfterCrashes(requests), NewLedger()
			var link Link
			bytes := 0
			encoder := gob.NewEncoder(byteCounter{&bytes})
			_ = encoder.Encode(Message{}) // type descriptions are sent once per connection
			bytes = 0
			for range 2 {
				m := l.NextMessage(link, start)
				_ = encoder.Encode(m)
				reply, _ := other.HandleMessage(m, start)
				l.HandleReply(&link, m, reply, start)
			}
			for b.Loop() {
				m := l.NextMessage(link, start)
				reply, _ := other.HandleMessage(m, start)
				l.HandleReply(&link, m, reply, start)
			}
			b.ReportMetric(float64(bytes)/float64(max(1, requests)), "B/record")
		})
	}
}

// byteCounter is a writer that counts bytes.
type byteCounter struct{ n *int }

func (c byteCounter) Write(p []byte) (int, error) {
	*c.n += len(p)
	return len(p), nil
}
