package quota

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"
)

// TestBytes: what an instance tells and is told of limits with its reports stays under 1 KB a
// second at 71 instances, which report each .57 s, where four workspaces ask at it: it has some
// four clients.
func TestBytes(t *testing.T) {
	const reportsASecond, workspaces, most = 1 / 0.568, 4, 1024
	l := newLoad(71, 3)
	w := newLentWay(l, testParams)
	var told, answered bytes.Buffer
	tells, answers := gob.NewEncoder(&told), gob.NewEncoder(&answered)
	now, before := epoch, 0
	for n := range 20 { // the first has the types, later ones only what changes
		for i := range workspaces {
			w.shares[0].Take(l.names[i], 1100+float64(n), now)
		}
		now = now.Add(568 * time.Millisecond)
		before = told.Len() + answered.Len()
		uses := w.shares[0].Report(now)
		if err := tells.Encode(uses); err != nil {
			t.Fatal(err)
		}
		loans := w.lender.Lend(fmt.Sprint(0), uses, w.limit, now)
		if err := answers.Encode(loans); err != nil {
			t.Fatal(err)
		}
		w.shares[0].Apply(loans, now, now)
	}
	perSecond := reportsASecond * float64(told.Len()+answered.Len()-before)
	t.Logf("%.0f B a second", perSecond)
	if perSecond > most {
		t.Errorf("%.0f B a second, want at most %d", perSecond, most)
	}
}
