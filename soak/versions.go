package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

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

// maxTakeUps is how often a client takes a stream up.
const maxTakeUps = 3

// takeUp returns a further attempt at a stream of which the client has a part, and false if there is none to make.
func (r *run) takeUp(random *rand.Rand, begun clientRequest) (clientRequest, bool) {
	events := begun.events()
	if begun.route != "stream" || begun.status != 200 || begun.complete || events == 0 || events == standin.StreamEvents || len(begun.parts) == maxTakeUps {
		return clientRequest{}, false
	}
	req := clientRequest{
		parts: append(slices.Clone(begun.parts), begun.wholeEvents()),
		id:    begun.id + "-up", route: begun.route, model: begun.model, key: begun.key, payload: begun.payload, withoutBody: begun.withoutBody, prompt: begun.prompt,
		lastEvent: events, resumes: cmp.Or(begun.resumes, begun.id), versions: slices.Clone(begun.versions),
	}
	r.sendTo(r.drawEntry(random), &req)
	return req, true
}

// wholeEvents returns the events of the answer, without a part of one at its end.
func (req *clientRequest) wholeEvents() string {
	const end = "\n\n"
	if i := strings.LastIndex(req.body, end); i >= 0 {
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
	return req.lastEvent + bytes.Count([]byte(req.body), []byte("\n\n"))
}

// versionViolations checks that what the client has of a stream is of one software version.
func (req *clientRequest) versionViolations() []Violation {
	if len(req.versions) < 2 {
		return nil
	}
	return []Violation{{"a stream keeps to one software version", fmt.Sprintf("%s, which resumes %q, has events of %v", req.id, req.resumes, req.versions)}}
}
