package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// streamTimeout is how long clients wait for a stream.
const streamTimeout = 8 * time.Second

// streamPart is what a client got of a stream from one attempt.
type streamPart struct {
	form, id string
	status   int
	// events are the lines of each event, and rest is what follows the last complete one.
	events []string
	rest   string
	// whole is set if nothing shows that a part is missing.
	whole bool
}

// markedEvent matches an event of a marked stream, without its line ends: its ID, run, the event after which that one began,
// and its number.
var markedEvent = regexp.MustCompile(`^id: (\d+) data: m1 (\S+) after (\d+) € #(\d+)\.*$`)

// orderFault returns what is wrong with the events that a client has of a stream from all its attempts, "" if nothing is:
// each event comes once and in order, and a run other than that of the event before began after that event.
func orderFault(parts []streamPart) string {
	last, run := 0, ""
	for _, part := range parts {
		for _, e := range part.events {
			match := markedEvent.FindStringSubmatch(e)
			if match == nil {
				return fmt.Sprintf("an event %q after event %d", e, last)
			}
			id, _ := strconv.Atoi(match[4])
			if id != last+1 {
				return fmt.Sprintf("event %d follows event %d", id, last)
			}
			if run != "" && match[2] != run && match[3] != strconv.Itoa(last) {
				return fmt.Sprintf("event %d of %s, which began after event %s, follows one of %s", id, match[2], match[3], run)
			}
			last, run = id, match[2]
		}
	}
	if end := parts[len(parts)-1]; end.whole && (last != standin.StreamEvents || end.rest != "") {
		return fmt.Sprintf("the stream ends as complete after event %d and %q", last, end.rest)
	}
	return ""
}

// streamForms are forms of streams, as queries.
var streamForms = func() (forms []string) {
	for _, framing := range []string{standin.FramingChunks, standin.FramingLength, standin.FramingNone} {
		for _, more := range []string{"", "&in=parts", "&lines=crlf&in=parts", "&ids=tens", "&padding=12000"} {
			forms = append(forms, "marked=true&framing="+framing+more)
		}
	}
	return forms
}()

// readMarked reads the events of a stream, with a pause after each.
func readMarked(body io.Reader, part *streamPart, pause time.Duration) {
	lines, event := bufio.NewReader(body), []string{}
	for {
		line, err := lines.ReadString('\n')
		part.rest += line
		if err != nil {
			part.whole = err == io.EOF
			return
		}
		if text := strings.TrimRight(line, "\r\n"); text != "" {
			event = append(event, text)
			continue
		}
		part.events = append(part.events, strings.Join(event, " "))
		part.rest, event = "", nil
		time.Sleep(pause)
	}
}

// streamClient sends streams and takes them up.
type streamClient struct {
	fleet  *entryFleet
	random *rand.Rand
	name   string
	forms  []string
}

// run sends a stream and takes it up at any instance until it is complete, as far as its route allows. It returns what it got.
func (c *streamClient) run(n int) []streamPart {
	route := []string{"stream", "once"}[c.random.IntN(2)]
	form := c.forms[c.random.IntN(len(c.forms))]
	pause := time.Duration(c.random.IntN(3)) * 30 * time.Millisecond
	oldProtocol := c.random.IntN(6) == 0
	var parts []streamPart
	last, lastID := 0, ""
	for try := range 4 {
		id := fmt.Sprintf("%s-%d-%d", c.name, n, try)
		header := standin.ClientHeader(id, "m1", streamTimeout)
		if lastID != "" {
			header.Set("Last-Event-Id", lastID)
			header.Set("Resumes", fmt.Sprintf("%s-%d-0", c.name, n))
		}
		instance := c.random.IntN(len(c.fleet.instances))
		part := c.fleet.receive(instance, route, form, fmt.Sprintf("%s-%d", c.name, n), header, pause, oldProtocol)
		part.id = id
		parts = append(parts, part)
		if last += len(part.events); len(part.events) > 0 {
			lastID = eventID(part.events[len(part.events)-1])
		}
		if part.whole && part.status == http.StatusOK || route == "once" || lastID == "" && (last > 0 || part.status == http.StatusOK) {
			return parts
		}
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
	}
	return parts
}

// eventID returns the ID of an event, "" if it has none.
func eventID(event string) string {
	if match := markedEvent.FindStringSubmatch(event); match != nil {
		return match[1]
	}
	return ""
}

// receive sends a request on a new connection and reads the answer. With an old protocol the answer has no chunks.
func (f *entryFleet) receive(instance int, route, form, text string, header http.Header, pause time.Duration, oldProtocol bool) streamPart {
	part := streamPart{form: route + "?" + form}
	ctx, cancel := context.WithTimeout(f.t.Context(), streamTimeout+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.instances[instance]+"/"+route+"/x?"+form, strings.NewReader(text))
	if err != nil {
		return part
	}
	req.Host, req.Header = clientHost, header
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialWithSmallBuffer}
	if oldProtocol {
		part.form += " HTTP/1.0"
		transport.DialContext = dialOldProtocol
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return part
	}
	defer resp.Body.Close()
	if part.status = resp.StatusCode; part.status == http.StatusOK {
		readMarked(resp.Body, &part, pause)
	}
	return part
}

// TestStreamsStayInOrderOverFaults guards against streams of any form in which an event is missing or comes twice, in which
// runs are joined, or which end as complete too soon, while engines and instances are killed and frozen.
func TestStreamsStayInOrderOverFaults(t *testing.T) {
	const clients, faults = 24, 11
	seed := seedOf(t)
	f := newEntryFleetWith(t, func(c *standin.Config) { c.Backups = true })
	engine := []string{"--model", "m1", "--loaded", "m1", "--work", "40ms"}
	ids := []string{"s1", "s2", "s3"}
	for _, id := range ids {
		f.startServer(id, engineService, engine...)
	}
	f.startEntry()
	f.startEntry()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var streams [][]streamPart
	for c := range clients {
		client := streamClient{f, rand.New(rand.NewPCG(seed, uint64(c))), fmt.Sprintf("c%d", c), streamForms}
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				parts := client.run(n)
				mu.Lock()
				streams = append(streams, parts)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, clients))
	for n := range faults {
		time.Sleep(time.Duration(150+random.IntN(350)) * time.Millisecond)
		f.disturb(random, n, ids[random.IntN(len(ids))], engine)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	wg.Wait()
	counts := map[string]int{}
	for _, parts := range streams {
		end := parts[len(parts)-1]
		switch {
		case end.whole && end.status == http.StatusOK:
			counts["whole"]++
		case end.status == http.StatusOK:
			counts["broken"]++
		default:
			counts["status "+strconv.Itoa(end.status)]++
		}
		if len(parts) > 1 {
			counts["taken up"]++
		}
		if fault := orderFault(parts); fault != "" {
			counts["faulty"]++
			t.Errorf("%s (%s): %s", end.id, end.form, fault)
		}
		if slices.ContainsFunc(parts, joined) {
			counts["went on at another run, "+end.form[:strings.Index(end.form, "?")]]++
		}
	}
	t.Logf("seed %d, %d streams: %v", seed, len(streams), counts)
	if counts["whole"] < len(streams)/2 {
		t.Errorf("%d of %d streams are whole", counts["whole"], len(streams))
	}
}

// joined reports whether a part has events of several runs.
func joined(p streamPart) bool {
	runs := map[string]bool{}
	for _, e := range p.events {
		if match := markedEvent.FindStringSubmatch(e); match != nil {
			runs[match[2]] = true
		}
	}
	return len(runs) > 1
}

// disturb kills or freezes a server, while an instance is frozen, is reloaded or runs on, or ends an instance.
func (f *entryFleet) disturb(random *rand.Rand, n int, server string, args []string) {
	entry := f.entries[random.IntN(len(f.entries))]
	pause := time.Duration(random.IntN(600)) * time.Millisecond
	f.t.Logf("fault %d of kind %d at %s, for %s", n, n%7, server, pause)
	switch n % 7 {
	case 0, 1: // killed, and started again at once
		f.kill(server)
		f.startServer(server, engineService, args...)
	case 2: // the same, while an instance is frozen
		entry.signal(syscall.SIGSTOP)
		time.Sleep(pause / 2)
		f.kill(server)
		f.startServer(server, engineService, args...)
		time.Sleep(pause / 2)
		entry.signal(syscall.SIGCONT)
	case 3: // frozen and killed
		f.servers[server].signal(syscall.SIGSTOP)
		time.Sleep(pause)
		f.kill(server)
		f.startServer(server, engineService, args...)
	case 4: // frozen for a while, and an instance is reloaded
		f.servers[server].signal(syscall.SIGSTOP)
		entry.signal(syscall.SIGHUP)
		time.Sleep(pause)
		f.servers[server].signal(syscall.SIGCONT)
	case 5: // an instance is killed
		f.endEntry(1, syscall.SIGKILL, 0)
	case 6: // an instance is to end, and is killed if its streams go on
		f.endEntry(1, syscall.SIGTERM, time.Second)
	}
}

// kill kills a server.
func (f *entryFleet) kill(server string) {
	f.t.Helper()
	f.servers[server].signal(syscall.SIGKILL)
	<-f.servers[server].exit
}

// endEntry sends a signal to an instance, kills it if it goes on for longer than limit, and starts it again.
func (f *entryFleet) endEntry(instance int, signal syscall.Signal, limit time.Duration) {
	f.t.Helper()
	entry := f.entries[instance]
	entry.signal(signal)
	time.Sleep(limit)
	_ = entry.cmd.Process.Kill() // it may have ended
	<-entry.exit
	f.restartEntry(instance)
}
