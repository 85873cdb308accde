package quota

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"
)

// TestReportTraffic guards against reports that cost too much bandwidth: what an instance sends and
// receives about limits with its reports stays below 1 KB/s at 71 instances that report every 0.57 s.
// Four workspaces are active at the instance, since it has about four clients.
func TestReportTraffic(t *testing.T) {
	const reportsPerSecond, workspaces, limit = 1 / 0.568, 4, 1024
	l := newLoad(71, 3)
	w := newLendAndAsk(l, testParams)
	var reports, replies bytes.Buffer
	reportEncoder, replyEncoder := gob.NewEncoder(&reports), gob.NewEncoder(&replies)
	now, before := epoch, 0
	for n := range 20 { // the first message includes the type descriptions, the last one is counted
		for i := range workspaces {
			w.shares[0].Take(l.names[i], 1100+float64(n), now)
		}
		now = now.Add(568 * time.Millisecond)
		before = reports.Len() + replies.Len()
		uses := w.shares[0].Report(now)
		if err := reportEncoder.Encode(uses); err != nil {
			t.Fatal(err)
		}
		loans := w.lender.Lend(fmt.Sprint(0), uses, w.limit, now)
		if err := replyEncoder.Encode(loans); err != nil {
			t.Fatal(err)
		}
		w.shares[0].Apply(loans, now, now)
	}
	perSecond := reportsPerSecond * float64(reports.Len()+replies.Len()-before)
	t.Logf("%.0f B/s", perSecond)
	if perSecond > limit {
		t.Errorf("%.0f B/s, want at most %d", perSecond, limit)
	}
}
