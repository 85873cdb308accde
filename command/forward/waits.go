package forward

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// waits is what one request has waited for.
type waits struct {
	// now is what it waits for, and spent how long it has waited for each.
	now   serving.Wait
	spent map[serving.Wait]time.Duration
	// promised is the time that it was told first.
	promised time.Duration
}

// next notes what the request waits for from here on. A load under way is named only
// if nothing is known of where it is from.
func (w *waits) next(cause serving.Wait) {
	if cause != "" && (cause != serving.WaitLoad || w.now == "") {
		w.now = cause
	}
}

// expect notes how long the request is told to wait.
func (w *waits) expect(wait time.Duration) {
	if w.promised == 0 {
		w.promised = wait
	}
}

func (w *waits) add(d time.Duration) {
	if w.spent == nil {
		w.spent = map[serving.Wait]time.Duration{}
	}
	w.spent[w.now] += d
}

func (w *waits) total() time.Duration {
	total := time.Duration(0)
	for _, d := range w.spent {
		total += d
	}
	return total
}

// longest is what the request waited for most, or what it was refused for at once;
// empty if it did not wait.
func (w *waits) longest() serving.Wait {
	if len(w.spent) == 0 {
		return w.now
	}
	var longest serving.Wait
	for cause, d := range w.spent {
		if longest == "" || d > w.spent[longest] {
			longest = cause
		}
	}
	return longest
}

// ended counts by how much the first promise was wrong.
func (w *waits) ended(counts *Counts) {
	if w.promised > 0 {
		counts.prospect(w.promised, w.total())
	}
}
