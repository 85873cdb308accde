package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const sampleLog = `  17.1 edge-2 time="2026-04-07T22:21:01.100Z" level=info msg="lease taken" before=edge-1 cause=silent fence=2 orders_in_ms=5699
  18.0 edge-2 time="2026-04-07T22:21:02.000Z" level=info msg="operation planned" engine=i-9 load=m7 ready_ms=879 unload="[m3]"
  18.1 edge-1 time="2026-04-07T22:21:02.100Z" level=warning msg="holder does not answer" holder=edge-9
  18.2 edge-3 time="2026-04-07T22:21:02.200Z" level=warning msg="holder does not answer" holder=edge-9
  18.3 edge-2 time="2026-04-07T22:21:02.300Z" level=info msg="operation planned" engine=i-8 load=m1 ready_ms=879
  18.4 edge-1 time="2026-04-07T22:21:02.400Z" level=info msg="request answered" request=other unit=m7 ms=3
not a line of ours
  18.9 edge-1 time="2026-04-07T22:21:02.900Z" level=info msg="request not answered: m7 is ready in 1.2s" request=r1 unit=m7/a2 ms=2 reason=no_replica
  19.9 edge-2 time="2026-04-07T22:21:03.900Z" level=info msg="operation ended" engine=i-9 load=m7
`

func TestRequest(t *testing.T) {
	lines, err := ParseLog(strings.NewReader(sampleLog), "file")
	if err != nil || len(lines) != 8 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	found, err := RequestLines(lines, "r1")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range found {
		got = append(got, l.Instance+": "+l.Message)
	}
	want := "edge-2: lease taken|edge-2: operation planned|edge-1: holder does not answer|edge-1: request not answered: m7 is ready in 1.2s"
	if strings.Join(got, "|") != want {
		t.Errorf("got %s", strings.Join(got, "|"))
	}
	if _, err := RequestLines(lines, "r2"); !errors.Is(err, ErrNotFound) {
		t.Errorf("%v, want ErrNotFound", err)
	}
}

func TestInstanceDefaultsToFile(t *testing.T) {
	lines, err := ParseLog(strings.NewReader(`time="2026-04-07T22:21:02.900Z" level=info msg="x" request=r1`), "edge-7")
	if err != nil || len(lines) != 1 || lines[0].Instance != "edge-7" {
		t.Errorf("%+v, %v", lines, err)
	}
}

// TestRefusedByKeyOrLimit checks that a request that was refused because of its key, its
// workspace's limit or outdated key information is explained by its own line, which has the
// workspace and the age of the information, and by what its instance logged about keys and the
// holder before.
func TestRefusedByKeyOrLimit(t *testing.T) {
	const log = `edge-1 time="2026-04-07T22:21:01.000Z" level=warning msg="keys are not relied on any more: requests that need one are refused" config=7 config_age_ms=4310 holder_answers=false
edge-1 time="2026-04-07T22:21:02.000Z" level=info msg="request not answered: it is not known whether keys were taken away" request=aged config_age_ms=5310 reason=platform ms=0 route=r verdict=NotRun priority=1
edge-2 time="2026-04-07T22:21:02.100Z" level=info msg="request not answered: workspace w asks for more than its limit" request=over workspace=w config_age_ms=310 reason=over_limit ms=0 route=r verdict=NotRun priority=1
edge-2 time="2026-04-07T22:21:02.200Z" level=info msg="request not answered: no workspace has the key" request=unknown config_age_ms=410 reason=unauthorized ms=0 route=r verdict=NotRun priority=1
`
	lines, err := ParseLog(strings.NewReader(log), "file")
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string]string{"aged": "keys are not relied on any more", "over": "workspace w asks for more", "unknown": "no workspace has the key"} {
		found, err := RequestLines(lines, id)
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: %v", id, err)
		}
		if text := found[0].Text; !strings.Contains(text, want) || !strings.Contains(text, "config_age_ms") {
			t.Errorf("%s: explained by %q", id, text)
		}
	}
	for _, g := range Outcomes(lines) {
		if g.Outcome != Refused {
			t.Errorf("%+v, want refused", g)
		}
	}
}

// TestRefusedForServerAdvisories checks that a request that was refused because all servers were at
// their limit or asked for a pause is explained by their advisories, as its instance logged them.
func TestRefusedForServerAdvisories(t *testing.T) {
	const log = `edge-1 time="2026-04-07T22:21:01.000Z" level=info msg="server's limit changed" limited=true rate=1.5 server=s1 source=edge-2
edge-1 time="2026-04-07T22:21:01.100Z" level=info msg="server asks for rest" rest_ms=3000 server=s2
edge-1 time="2026-04-07T22:21:01.200Z" level=info msg="server asks for rest" rest_ms=3000 server=s3
edge-1 time="2026-04-07T22:21:02.000Z" level=info msg="request not answered: no server of plain that could run it takes anything for 1.9s" request=r held_back=s1,s2 reason=held_back ms=0 route=r verdict=NotRun priority=1
`
	lines, err := ParseLog(strings.NewReader(log), "file")
	if err != nil {
		t.Fatal(err)
	}
	found, err := RequestLines(lines, "r")
	if err != nil || len(found) != 3 || found[0].Fields["server"] != "s1" || found[1].Fields["server"] != "s2" {
		t.Errorf("%v, %v: want the advisories of s1 and s2, and the refusal", found, err)
	}
}

// TestRefusedWithPlace checks that a request that was refused with a place in a queue is explained by its own line,
// which has the place and the time, and by the holder's lines about the queue of its model.
func TestRefusedWithPlace(t *testing.T) {
	const log = `edge-9 time="2026-04-07T22:21:01.000Z" level=info msg="refused requests wait for their turn" unit=m7 listed=12 due=3 oldest_ms=800
edge-9 time="2026-04-07T22:21:01.100Z" level=info msg="refused requests wait for their turn" unit=m8 listed=2 due=0 oldest_ms=90
edge-1 time="2026-04-07T22:21:02.000Z" level=info msg="request not answered: more is asked of m7 than its engines serve, 0.30 of such requests are admitted; its turn is expected in 640ms" request=r unit=m7 reason=queue_full ms=0 retry_after_ms=640
edge-1 time="2026-04-07T22:21:02.100Z" level=info msg="request not answered: workspace w asks for more than its limit, place 4 in its queue is kept" request=over workspace=w reason=over_limit ms=0 retry_after_ms=410
`
	lines, err := ParseLog(strings.NewReader(log), "file")
	if err != nil {
		t.Fatal(err)
	}
	found, err := RequestLines(lines, "r")
	if err != nil || len(found) != 2 || found[0].Fields["listed"] != "12" || !strings.Contains(found[1].Message, "expected in 640ms") {
		t.Errorf("%v, %v: want the queue of m7 and the refusal", found, err)
	}
	found, err = RequestLines(lines, "over")
	if err != nil || !strings.Contains(found[len(found)-1].Text, "place 4") || found[len(found)-1].Fields["retry_after_ms"] != "410" {
		t.Errorf("%v, %v: want the place", found, err)
	}
}
