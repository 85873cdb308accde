package entry

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/serving"
)

// TestNoRequestLost checks that a request that an instance has read completely is answered, even if its connection
// is about to be closed as idle.
//
// Guards against a close that races with a request: the guard collected all connections over the idle limit and
// closed them one by one. A request that arrived on one of them in between was sent to a backend server, and then
// its connection was closed, without an answer or a refusal. A configuration with a lower idle limit makes all idle
// connections expire at the same time, so that the list is long, and the process may not be scheduled between the
// two steps. With 400 ms between them, 6 requests were cut off by eight changes of the idle limit at 69 instances
// within 45 s, the first one 95 ms after it had reached its server; without that pause none.
func TestNoRequestLost(t *testing.T) {
	t.Run("picked as idle", testIdleExpired)
	t.Run("arriving", testRequestAcrossIdleLimit)
	t.Run("slow headers", testSlowHeaders)
	t.Run("no limit on headers", testNoHeaderLimit)
	t.Run("idle limit lowered", testIdleLimitLowered)
	t.Run("idle limit lowered as a request is served", testIdleLimitLoweredWhileServing)
	t.Run("idle limit removed", testIdleLimitRemoved)
	t.Run("leaving", testDrain)
	t.Run("leaving while serving", testDrainWhileServing)
	t.Run("new connections while leaving", testNewConnectionsDuringDrain)
	t.Run("taken back", testCloseCancelled)
}

// testIdleExpired sends requests from 100 ms before to 400 ms after the guard has selected their connections, which
// take long to close.
func testIdleExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second})
		all := s.connectIdle(20)
		idleSince := time.Now()
		for _, c := range all {
			c.server.closeTime.Store(int64(testCloseTime))
		}
		firstCheck := idleSince.Add(5 * intake.CheckInterval) // the first check at which they exceed the limit
		s.sendSpread(all, firstCheck.Add(-100*time.Millisecond))
		s.checkReadRequestsAnswered(all)
	})
}

// testRequestAcrossIdleLimit sends the first bytes of a request before the idle limit and the others after it.
func testRequestAcrossIdleLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second})
		reused := s.connect()
		reused.request()
		reused.sendInParts(960*time.Millisecond, 400*time.Millisecond)
		s.connect().sendInParts(960*time.Millisecond, 400*time.Millisecond)
	})
}

// sendInParts sends the first bytes of a request after an idle time, and the others after a further pause.
func (c *testConn) sendInParts(idle, pause time.Duration) {
	time.Sleep(idle)
	c.write(testRequest[:10])
	time.Sleep(pause)
	c.write(testRequest[10:])
	if !c.readAnswer() {
		c.t.Errorf("request sent after an idle time of %s with a pause of %s got no answer", idle, pause)
	}
}

// testSlowHeaders checks that the header limit counts from the first byte of the headers, also if the idle limit is
// far away.
func testSlowHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: time.Hour, HeaderTimeout: time.Second})
		c := s.connect()
		c.request()
		time.Sleep(time.Minute)
		began := time.Now()
		go func() {
			for i := 0; i < 20; i++ {
				c.write(testRequest[i : i+1])
				time.Sleep(100 * time.Millisecond)
			}
		}()
		if c.readAnswer() {
			t.Error("an incomplete request was answered")
		}
		if took := time.Since(began); took < time.Second || took > time.Second+2*intake.CheckInterval {
			t.Errorf("slow headers were cut off after %s, the limit is 1 s", took)
		}
	})
}

// testNoHeaderLimit checks that without a header limit a connection with an incomplete request is closed by the
// idle limit, and does not delay the drain of an instance.
func testNoHeaderLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: 10 * time.Second})
		begin := func() {
			c := s.connect()
			c.request()
			time.Sleep(time.Second)
			c.write(testRequest[:1])
		}
		begin()
		time.Sleep(10*time.Second + 2*intake.CheckInterval)
		if !s.clients.guard.noConnections() {
			t.Error("a connection with an incomplete request exceeds the idle limit")
		}
		begin()
		drainStart := time.Now()
		s.clients.drain(drainStart.Add(time.Minute))
		if took := time.Since(drainStart); took > 11*time.Second {
			t.Errorf("drain of an instance without a complete request took %s", took)
		}
	})
}

// testIdleLimitLowered checks that an idle connection keeps the limit that was in force when it became idle. A
// lower limit applies from the next idle period on.
func testIdleLimitLowered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: time.Second})
		c := s.connect()
		c.request()
		time.Sleep(2 * time.Second)
		s.limits.Store(&serving.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second})
		time.Sleep(6 * time.Second)
		if !c.request() {
			t.Fatal("a connection was closed after four fifths of the limit in force when it became idle")
		}
		began := time.Now()
		if c.readAnswer() {
			t.Error("answer without a request")
		}
		if took := time.Since(began); took < time.Second || took > time.Second+2*intake.CheckInterval {
			t.Errorf("the lower limit of 1 s ended the next idle period after %s", took)
		}
	})
}

// testIdleLimitLoweredWhileServing checks that the idle limit that was in force when a request was read, and that
// its client was informed of, applies even if it is lowered before the answer.
func testIdleLimitLoweredWhileServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: time.Second})
		c := s.connect()
		c.write(testRequest)
		time.Sleep(testServeTime / 2)
		s.limits.Store(&serving.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second})
		if !c.readAnswer() {
			t.Fatal("no answer")
		}
		time.Sleep(8 * time.Second)
		if !c.request() {
			t.Error("a connection was closed after four fifths of the limit that its client was informed of")
		}
	})
}

// testIdleLimitRemoved checks that without a limit a connection may be idle indefinitely, even if it became idle
// under a limit.
func testIdleLimitRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: 10 * time.Second})
		c := s.connect()
		c.request()
		s.limits.Store(&serving.Limits{})
		time.Sleep(time.Hour)
		if !c.request() {
			t.Error("a connection without a limit was closed")
		}
	})
}

// testDrain sends requests from 40 ms before to 460 ms after a draining instance closes its idle connections. The
// process is delayed after each read, so that some requests have been read but are not yet registered when that
// happens.
func testDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Second})
		s.connect().request() // idle
		s.connect()           // without a request
		all := s.connectIdle(20)
		for _, c := range all {
			c.server.readTime.Store(int64(testReadTime))
		}
		drainStart := time.Now().Add(time.Second)
		drained := make(chan struct{})
		go func() {
			time.Sleep(time.Until(drainStart))
			s.clients.drain(drainStart.Add(time.Minute))
			close(drained)
		}()
		s.sendSpread(all, drainStart.Add(-40*time.Millisecond))
		s.checkReadRequestsAnswered(all)
		<-drained
		if took := time.Since(drainStart); took > 10*time.Second {
			t.Errorf("drain of an instance without requests took %s", took)
		}
	})
}

// testDrainWhileServing checks that a draining instance answers requests on idle connections while it serves
// others, so that clients need not retry.
func testDrainWhileServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Second})
		all := s.connectIdle(2)
		all[0].write(testRequest)
		synctest.Wait() // until it is served
		go s.clients.drain(time.Now().Add(time.Minute))
		time.Sleep(testServeTime / 2)
		if !all[1].request() || !all[0].readAnswer() {
			t.Error("a request on an idle connection got no answer while another was served")
		}
	})
}

// testNewConnectionsDuringDrain checks that a draining instance answers the first request of a client that has just
// connected, and accepts connections while it has requests: the platform may route clients to it if there is no
// other instance.
func testNewConnectionsDuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Second})
		busy, connected := s.connect(), s.connect()
		busy.write(testRequest)
		synctest.Wait() // until the request is registered
		go s.clients.drain(time.Now().Add(time.Minute))
		time.Sleep(firstRequestWait - finalReadTimeout/2)
		answered := make(chan bool, 1)
		go func() { answered <- connected.request() }()
		time.Sleep(testServeTime / 4) // the first request is being served
		client, server := net.Pipe()
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		select {
		case s.accepted <- server:
		case <-time.After(testServeTime / 4):
			t.Error("no connection was accepted while a request was being served")
		}
		if !<-answered {
			t.Error("a client that connected before the drain got no answer")
		}
	})
}

// testCloseCancelled sends a request, its first bytes, or the rest of its headers while the connection makes its
// final read before it is closed. The request is served, and the deadline set for the close affects neither the
// request nor the next idle period.
func testCloseCancelled(t *testing.T) {
	const offset = 50 * time.Millisecond // into the final read
	idle, header := 10*time.Second, time.Second
	t.Run("whole", func(t *testing.T) { cancelClose(t, true, idle+intake.CheckInterval+offset, 0) })
	t.Run("first bytes", func(t *testing.T) {
		cancelClose(t, true, idle+intake.CheckInterval+offset, header-intake.CheckInterval)
	})
	t.Run("first bytes of all", func(t *testing.T) {
		cancelClose(t, false, idle+intake.CheckInterval+offset, header-intake.CheckInterval)
	})
	t.Run("rest of the headers", func(t *testing.T) { cancelClose(t, true, idle/2, header+intake.CheckInterval+offset) })
}

// cancelClose sends a request after an idle time on a reused or a new connection, with a pause within its headers.
func cancelClose(t *testing.T, reused bool, idle, pause time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: time.Second})
		c := s.connect()
		if reused {
			c.request()
		}
		c.sendInParts(idle, pause)
		c.sendInParts(9*time.Second, 0)
		began := time.Now()
		c.readAnswer()
		if took := time.Since(began); took < 10*time.Second || took > 11*time.Second {
			t.Errorf("the limit of 10 s ended the next idle period after %s", took)
		}
	})
}

// TestConnectionsNotAdmittedAreClosedUnread guards against connections that an instance accepts and cannot serve, when
// most new ones come to it: those beyond its limit are closed with nothing read, the others are served.
func TestConnectionsNotAdmittedAreClosedUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestClients(t, serving.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Second})
		const limit = 3
		s.clients.admit = func(open int) bool { return open < limit }
		all := make([]*testConn, 2*limit)
		var requests sync.WaitGroup
		for i := range all {
			all[i] = s.connect()
			synctest.Wait()
			requests.Go(func() { all[i].answered = all[i].request() })
		}
		requests.Wait()
		for i, c := range all {
			if kept := i < limit; c.answered != kept || (c.server.read.Load() > 0) != kept {
				t.Errorf("connection %d: answered %t, %d bytes read", i, c.answered, c.server.read.Load())
			}
		}
		_ = all[0].Close()
		time.Sleep(time.Second)
		if c := s.connect(); !c.request() {
			t.Error("a connection that takes the place of a closed one is not served")
		}
	})
}
