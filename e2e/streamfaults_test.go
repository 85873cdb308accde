package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// wrongForms are forms of streams of servers that repeat events, begin anew, end too soon or send data that is no event.
var wrongForms = func() (forms []string) {
	for _, framing := range []string{standin.FramingChunks, standin.FramingNone} {
		for _, wrong := range standin.Wrongs {
			forms = append(forms, "marked=true&framing="+framing+"&wrong="+wrong, "marked=true&framing="+framing+"&in=parts&wrong="+wrong)
		}
	}
	for _, framing := range []string{standin.FramingChunks, standin.FramingLength, standin.FramingNone} {
		for _, kind := range standin.AllGarbage {
			for _, place := range standin.GarbageInStream {
				forms = append(forms, fmt.Sprintf("marked=true&framing=%s&wrong=%s&kind=%s&place=%s", framing, standin.WrongGarbage, kind, place))
			}
		}
	}
	return forms
}()

// runAtOnce sends a stream and takes it up at two instances while the first attempt goes on. It returns what it has by the
// first attempt, and by each of the others after the events of the first one up to that after which they go on.
func (c *streamClient) runAtOnce(n int) [][]streamPart {
	form := streamForms[c.random.IntN(len(streamForms))]
	after := 1 + c.random.IntN(standin.StreamEvents-2)
	lastID := strconv.Itoa(after)
	if strings.Contains(form, "ids=tens") {
		lastID += "0"
	}
	first := fmt.Sprintf("%s-%d-0", c.name, n)
	instances := c.random.Perm(len(c.fleet.instances))
	parts := make([]streamPart, 3)
	var wg sync.WaitGroup
	wg.Go(func() {
		parts[0] = c.fleet.receive(instances[0], "stream", form, first, standin.ClientHeader(first, "m1", streamTimeout), 0, false)
	})
	time.Sleep(time.Duration(100+60*after) * time.Millisecond)
	for try := 1; try < len(parts); try++ {
		header := standin.ClientHeader(fmt.Sprintf("%s-%d-%d", c.name, n, try), "m1", streamTimeout)
		header.Set("Last-Event-Id", lastID)
		header.Set("Resumes", first)
		wg.Go(func() {
			parts[try] = c.fleet.receive(instances[try%len(instances)], "stream", form, first, header, 0, try == 1 && n%4 == 0)
		})
	}
	wg.Wait()
	begun := parts[0]
	streams := [][]streamPart{{begun}}
	if len(begun.events) < after {
		return streams
	}
	begun.events, begun.whole = begun.events[:after], false
	for _, part := range parts[1:] {
		streams = append(streams, []streamPart{begun, part})
	}
	return streams
}

// TestStreamsStayInOrderOverOverlappingFaults guards against the same as TestStreamsStayInOrderOverFaults, where servers send
// something else than the rest of a stream, clients take streams up while an attempt goes on, and several processes are
// disturbed at once.
func TestStreamsStayInOrderOverOverlappingFaults(t *testing.T) {
	const clients, faults = 24, 9
	seed := seedOf(t)
	f := newEntryFleetWith(t, func(c *standin.Config) { c.Backups = true })
	engine := []string{"--model", "m1", "--loaded", "m1", "--work", "40ms"}
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		f.startServer(id, engineService, engine...)
	}
	for range 3 {
		f.startEntry()
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var streams [][]streamPart
	for c := range clients {
		client := streamClient{fleet: f, random: rand.New(rand.NewPCG(seed, uint64(c))), name: fmt.Sprintf("c%d", c), forms: streamForms}
		if c%3 == 0 {
			client.forms = wrongForms
		}
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				var got [][]streamPart
				if c%3 == 1 {
					got = client.runAtOnce(n)
				} else {
					got = [][]streamPart{client.run(n)}
				}
				mu.Lock()
				streams = append(streams, got...)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, clients))
	for n := range faults {
		time.Sleep(time.Duration(100+random.IntN(250)) * time.Millisecond)
		f.disturbSeveral(random, n, engine)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	wg.Wait()
	whole := 0
	for _, parts := range streams {
		if end := parts[len(parts)-1]; end.whole && end.status == http.StatusOK {
			whole++
		}
		if fault := orderFault(parts); fault != "" {
			t.Errorf("%s (%s): %s", parts[len(parts)-1].id, parts[0].form, fault)
		}
	}
	t.Logf("seed %d, %d streams, %d whole", seed, len(streams), whole)
	if whole < len(streams)/2 {
		t.Errorf("%d of %d streams are whole", whole, len(streams))
	}
}

// disturbSeveral disturbs two servers, or a server and instances, at once.
func (f *entryFleet) disturbSeveral(random *rand.Rand, n int, args []string) {
	order := random.Perm(4)
	first, second := fmt.Sprintf("s%d", 1+order[0]), fmt.Sprintf("s%d", 1+order[1])
	entry, pause := random.IntN(len(f.entries)), time.Duration(random.IntN(500))*time.Millisecond
	f.t.Logf("fault %d of kind %d at %s and %s, instance %d, for %s", n, n%6, first, second, entry, pause)
	restart := func(ids ...string) {
		for _, id := range ids {
			f.startServer(id, engineService, args...)
		}
	}
	switch n % 6 {
	case 0: // a server is killed, and soon after that another one, at which its streams may go on
		f.kill(first)
		time.Sleep(pause / 4)
		f.kill(second)
		restart(first, second)
	case 1: // a server is frozen and killed while another one is frozen
		f.servers[first].signal(syscall.SIGSTOP)
		time.Sleep(pause)
		f.servers[second].signal(syscall.SIGSTOP)
		f.kill(first)
		time.Sleep(pause)
		f.servers[second].signal(syscall.SIGCONT)
		restart(first)
	case 2: // a server is frozen for so long that its streams are given up, and goes on
		f.servers[first].signal(syscall.SIGSTOP)
		time.Sleep(2*time.Second + pause)
		f.servers[first].signal(syscall.SIGCONT)
	case 3: // instances are ended one after the other while a server is killed
		f.entries[entry].signal(syscall.SIGHUP)
		f.kill(first)
		f.endEntry(entry, syscall.SIGTERM, pause)
		restart(first)
		f.endEntry((entry+1)%len(f.entries), syscall.SIGTERM, pause)
	case 4: // the store is frozen while a server starts again and an instance ends
		f.storeProcess.signal(syscall.SIGSTOP)
		f.kill(first)
		restart(first)
		f.endEntry(entry, syscall.SIGKILL, 0)
		time.Sleep(pause)
		f.storeProcess.signal(syscall.SIGCONT)
	case 5: // an instance is frozen while two servers are killed
		f.entries[entry].signal(syscall.SIGSTOP)
		f.kill(first)
		f.kill(second)
		time.Sleep(pause)
		restart(first, second)
		f.entries[entry].signal(syscall.SIGCONT)
	}
}
