package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// Engines have software of two versions in three of four runs, are replaced by newer ones in all, and write their version
// into each event. Clients leave some streams and take them up, as well as those that break off. What a client gets of a
// stream has to be of one version.

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
}

// record counts an attempt on the route of streams that can be taken up, of those at one stream the first two.
func (u *takeUps) record(req *clientRequest) {
	if req.route != "stream" || req.takeUps > 1 || !req.entryStable || !req.undisturbed {
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

// maxTakeUps is how often a client takes a stream up, and maxTakeUpPause is the longest pause before that: long enough for
// some to come after all instances were killed.
const maxTakeUps, maxTakeUpPause = 4, 600 * time.Millisecond

// takeStreamUp takes up a stream of which the client has a part, until it has all of it or a part of another version. It
// calls record with each attempt.
func (r *run) takeStreamUp(ctx context.Context, random *rand.Rand, begun clientRequest, maxPause time.Duration, record func(clientRequest)) {
	part := begun
	for n := range maxTakeUps {
		if !part.canBeTakenUp() || !pause.For(ctx, time.Duration(random.Int64N(int64(maxPause)))) {
			return
		}
		req := clientRequest{
			id: fmt.Sprintf("%s-up%d", begun.id, n+1), conns: begun.conns, route: begun.route, model: begun.model, key: begun.key, payload: begun.payload, withoutBody: begun.withoutBody, prompt: begun.prompt,
			parts: append(slices.Clone(part.parts), part.wholeEvents()), lastEvent: part.events(), resumes: begun.id, takeUps: n + 1, versions: slices.Clone(part.versions),
		}
		if random.IntN(leaveShare) == 0 {
			req.leaveAfter = leaveAfter
		}
		r.sendTo(r.drawEntry(random), &req)
		record(req)
		part = req
	}
}

// canBeTakenUp reports whether the client has a part of a stream, all of one version, that it can take up.
func (req *clientRequest) canBeTakenUp() bool {
	events := req.events()
	complete := req.status == http.StatusOK && req.complete
	return req.route == "stream" && !complete && events > 0 && events < standin.StreamEvents && len(req.versions) < 2
}

// wholeEvents returns the events of the answer, without a part of one at its end.
func (req *clientRequest) wholeEvents() string {
	const end = "\n\n"
	if i := strings.LastIndex(req.body, end); i >= 0 && req.status == http.StatusOK {
		return req.body[:i+len(end)]
	}
	return ""
}

// joinedViolations checks the text that the client has of a stream from all its attempts.
func (req *clientRequest) joinedViolations() []Violation {
	if req.resumes == "" || req.status != http.StatusOK {
		return nil
	}
	text, whole := strings.Join(req.parts, "")+req.body, wholeStream(req.model)
	if text == whole || !req.complete && strings.HasPrefix(whole, text) {
		return nil
	}
	return []Violation{{"the parts of a stream that is taken up are one stream", fmt.Sprintf("%s, which resumes %q, has %q", req.id, req.resumes, text)}}
}

// wholeStream returns all events of a stream of a model.
func wholeStream(model string) string {
	all := clientRequest{model: model}
	return all.expectedBody()
}

// events returns the number of events that the client has.
func (req *clientRequest) events() int {
	if req.status != http.StatusOK {
		return req.lastEvent
	}
	return req.lastEvent + strings.Count(req.body, "\n\n")
}

// versionViolations checks that what the client has of a stream is of one software version.
func (req *clientRequest) versionViolations() []Violation {
	if len(req.versions) < 2 {
		return nil
	}
	return []Violation{{"a stream keeps to one software version", fmt.Sprintf("%s, which resumes %q, has events of %v", req.id, req.resumes, req.versions)}}
}
