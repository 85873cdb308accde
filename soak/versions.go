package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// Engines have software of two versions in three of four runs, and write their version into each event. Clients leave
// some streams and take them up, as well as those that break off. What a client gets of a stream has to be of one version.

// engineVersion returns the software version of an engine; "" if all have the same.
func (r *run) engineVersion(engine int) string {
	if r.params.Seed%4 == 0 {
		return ""
	}
	return fmt.Sprintf("v%d", 1+engine%2)
}

// leaveShare is the share of streams that clients leave, as 1 in leaveShare, after leaveAfter events.
const leaveShare, leaveAfter = 6, 3

// readStream reads the events of a stream, up to the given number unless it is 0.
func readStream(body io.Reader, events int) ([]byte, error) {
	var text bytes.Buffer
	lines := bufio.NewReader(body)
	for read := 0; events == 0 || read < events; {
		line, err := lines.ReadBytes('\n')
		text.Write(line)
		if err == io.EOF {
			return text.Bytes(), nil
		}
		if err != nil {
			return text.Bytes(), err
		}
		if len(line) == 1 {
			read++
		}
	}
	return text.Bytes(), errLeft
}

var errLeft = errors.New("soak: the client has left")

// versionInData matches the software version at the end of an event's data.
var versionInData = regexp.MustCompile(`(?m)^(data: \S+) (v\d+)$`)

// splitVersions returns the events of a stream without the versions of the engines, and the versions.
func splitVersions(events string) (plain string, versions []string) {
	for _, match := range versionInData.FindAllStringSubmatch(events, -1) {
		if !slices.Contains(versions, match[2]) {
			versions = append(versions, match[2])
		}
	}
	return versionInData.ReplaceAllString(events, "$1"), versions
}

// takeUps counts, at stable instances, the attempts to begin a stream that can be taken up and to take one up, and those
// that brought an event.
type takeUps struct {
	mu                                 sync.Mutex
	beginnings, begun, takenUp, wentOn int // guarded by mu
	// broken are the streams taken up that broke off, left those that their clients left.
	broken, left streamsTakenUp // guarded by mu
}

// streamsTakenUp counts streams that clients took up, with as many attempts as they made, and those that went on.
type streamsTakenUp struct{ streams, wentOn int }

// recordStream counts a stream that its client took up.
func (u *takeUps) recordStream(broken, wentOn bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := &u.left
	if broken {
		counts = &u.broken
	}
	counts.streams++
	if wentOn {
		counts.wentOn++
	}
}

// summary describes the streams taken up.
func (u *takeUps) summary() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("broken=%d went_on=%d left=%d went_on=%d", u.broken.streams, u.broken.wentOn, u.left.streams, u.left.wentOn)
}

// record counts an attempt on the route of streams that can be taken up.
func (u *takeUps) record(req *clientRequest) {
	if req.route != "stream" || !req.entryStable || !req.undisturbed {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	attempts, successes := &u.beginnings, &u.begun
	if req.resumes != "" {
		attempts, successes = &u.takenUp, &u.wentOn
	}
	*attempts++
	if req.status == 200 && req.body != "" {
		*successes++
	}
}

// minTakeUps is the number of streams taken up from which their share is judged.
const minTakeUps = 12

// violations checks that streams go on at least half as often as they begin.
func (u *takeUps) violations() []Violation {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.takenUp < minTakeUps || 2*u.wentOn*u.beginnings >= u.begun*u.takenUp {
		return nil
	}
	return []Violation{{"streams that are taken up go on", fmt.Sprintf("%d of %d, while %d of %d began", u.wentOn, u.takenUp, u.begun, u.beginnings)}}
}

// A client tries to take a stream up takeUpTries times, takeUpPause after each other: longer than all instances are away
// when they are killed at once.
const (
	takeUpTries = 6
	takeUpPause = 500 * time.Millisecond
)

// takeUp has a client take up a stream of which it has a part, until it gets an event.
func (r *run) takeUp(ctx context.Context, random *rand.Rand, begun clientRequest, record func(clientRequest)) {
	events := begun.events()
	if begun.route != "stream" || begun.status != 200 || begun.complete || events == 0 || events == standin.StreamEvents {
		return
	}
	wentOn := false
	for try := 0; try < takeUpTries && !wentOn && (try == 0 || pause.For(ctx, takeUpPause)); try++ {
		req := clientRequest{
			id: fmt.Sprintf("%s-up%d", begun.id, try), route: begun.route, model: begun.model, key: begun.key, payload: begun.payload, withoutBody: begun.withoutBody,
			prompt: begun.prompt, lastEvent: events, resumes: begun.id, tookUpBefore: try > 0, versions: slices.Clone(begun.versions),
		}
		r.sendTo(r.drawEntry(random), &req)
		wentOn = req.status == 200 && req.body != ""
		record(req)
	}
	r.takeUps.recordStream(begun.leaveAfter == 0, wentOn)
}

// events returns the number of events that the client has.
func (req *clientRequest) events() int {
	return req.lastEvent + bytes.Count([]byte(req.body), []byte("\n\n"))
}

// versionViolations checks that what the client has of a stream is of one software version.
func (req *clientRequest) versionViolations() []Violation {
	if len(req.versions) < 2 {
		return nil
	}
	return []Violation{{"a stream keeps to one software version", fmt.Sprintf("%s, which resumes %q, has events of %v", req.id, req.resumes, req.versions)}}
}
