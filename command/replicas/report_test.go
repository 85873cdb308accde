package replicas

import (
	"testing"
	"time"
)

// TestShortageChanges: a class is reported once when it has been short of room for a while, and once when it has enough
// again.
func TestShortageChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	f := overloadedFleet(now)
	reports := func(d time.Duration) (list []ShortageChange) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			f.Room(now)
			list = append(list, f.ShortageChanges(now)...)
		}
		return list
	}
	if list := reports(shortFor / 2); len(list) > 0 {
		t.Errorf("%+v after half of the time", list)
	}
	list := reports(shortFor)
	if len(list) != 2 || list[0].Class != urgentClass || list[1].Class != patientClass || list[0].Service != "llm" {
		t.Fatalf("%+v, want both classes", list)
	}
	if !list[0].Short || !list[1].Short || list[1].Share >= list[0].Share {
		t.Errorf("%+v, want both short, the patient class more", list)
	}
	for _, c := range f.Engine("a-engine").Copies {
		c.Running = 1
	}
	if list := reports(2 * shortFor); len(list) != 2 || list[0].Short || list[1].Short {
		t.Errorf("%+v, want that they have enough room", list)
	}
}

// TestCopyShortages: a model whose requests are refused and that has too few copies is reported.
func TestCopyShortages(t *testing.T) {
	now := time.Unix(1000, 0)
	f := overloadedFleet(now)
	if s := f.CopyShortages(now); s.Models != 0 {
		t.Errorf("%+v, although nothing was refused", s)
	}
	f.RecordRefused("m1", urgentClass, 30, now)
	f.RecordRefused("m2", patientClass, 90, now)
	if s := f.CopyShortages(now); s.Models != 2 || s.Model != "m2" || s.Copies != 1 || s.Wanted <= 2 || s.Offered <= s.Running {
		t.Errorf("%+v, want m2 first", s)
	}
}

// TestShortModels: the models that lack most come first, and the summary agrees with the list.
func TestShortModels(t *testing.T) {
	now := time.Unix(1000, 0)
	f := overloadedFleet(now)
	f.RecordRefused("m1", urgentClass, 30, now)
	f.RecordRefused("m2", patientClass, 90, now)
	list, s := f.ShortModels(now), f.CopyShortages(now)
	if len(list) != 2 || list[0].Model != "m2" || list[1].Model != "m1" {
		t.Fatalf("%+v, want m2 and m1", list)
	}
	if list[0].Wanted-list[0].Copies < list[1].Wanted-list[1].Copies || s.Models != 2 || s.Model != "m2" || s.Wanted != list[0].Wanted {
		t.Errorf("%+v, %+v", list, s)
	}
}
