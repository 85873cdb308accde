package daemon

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"
)

// Limits on the cost of a burst for one cold model, independent of the number of
// instances.
const (
	maxOrdersPerBurst       = 1.0
	maxPlatformCallsPerLoad = 6.0
)

// BenchmarkWakeStorm sends a request for one cold model to every instance
// concurrently. The baseline is the number of orders if every instance decided
// independently, which is the number of instances.
func BenchmarkWakeStorm(b *testing.B) {
	for _, nodesPerDomain := range []int{2, 20, 83} {
		b.Run(fmt.Sprintf("instances=%d", nodesPerDomain*domainsAt(nodesPerDomain)), func(b *testing.B) {
			for b.Loop() {
				bubble(b, func(t *testing.T) { wakeStorm(t, b, nodesPerDomain) })
			}
		})
	}
}

// domainsAt returns the number of failure domains: three at the current size, four at
// the size projected for two years.
func domainsAt(nodesPerDomain int) int {
	if nodesPerDomain <= 2 {
		return 3
	}
	return 4
}

func wakeStorm(t *testing.T, b *testing.B, nodesPerDomain int) {
	shape := small
	shape.domains, shape.nodesPerDomain, shape.enginesPerDomain = domainsAt(nodesPerDomain), nodesPerDomain, 2
	f := newTestFleet(t, shape)
	defer f.close()
	time.Sleep(10 * time.Second)
	before := f.platform.Reads.Load() + f.platform.Writes.Load()
	start := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, n := range f.nodes {
		all.Go(func() {
			if _, err := n.generate("caption", n.settings.Name, time.Minute); err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	elapsed := time.Since(start)
	calls := f.platform.Reads.Load() + f.platform.Writes.Load() - before
	orders := float64(f.loads())
	b.ReportMetric(orders, "orders/burst")
	b.ReportMetric(float64(calls)/orders, "platform-calls/load")
	b.ReportMetric(float64(len(f.nodes)), "baseline-orders/burst")
	b.ReportMetric(elapsed.Seconds(), "virtual-s")
	if failed > 0 || orders > maxOrdersPerBurst || float64(calls) > maxPlatformCallsPerLoad*orders {
		t.Errorf("limits exceeded: failed requests=%d orders=%v store calls=%d", failed, orders, calls)
	}
}

// BenchmarkConfigSpread measures the time until an accepted declaration is in force
// at all instances, and the reads and bytes that it takes.
func BenchmarkConfigSpread(b *testing.B) {
	for _, nodesPerDomain := range []int{2, 20, 83} {
		b.Run(fmt.Sprintf("instances=%d", nodesPerDomain*domainsAt(nodesPerDomain)), func(b *testing.B) {
			for b.Loop() {
				bubble(b, func(t *testing.T) { configSpread(t, b, nodesPerDomain) })
			}
		})
	}
}

// maxConfigSeconds is the users' requirement; the target is 4 s.
const maxConfigSeconds = 14

func configSpread(t *testing.T, b *testing.B, nodesPerDomain int) {
	shape := small
	shape.domains, shape.nodesPerDomain, shape.enginesPerDomain = domainsAt(nodesPerDomain), nodesPerDomain, 2
	f := newTestFleet(t, shape)
	defer f.close()
	time.Sleep(10 * time.Second)
	reads, bytes := f.platform.Reads.Load(), f.net.bytes.Load()
	f.accept(f.nodes[0], oneReplica+"  - {name: album, version: \"1\", memory: 14GiB, maxReplicas: 1, deadline: 60s}\n")
	elapsed := f.awaitUntil("generation 2 everywhere", time.Minute, func() bool { return f.generationsAre(2, f.domains...) })
	b.ReportMetric(elapsed.Seconds(), "virtual-s-to-all")
	b.ReportMetric(float64(f.platform.Reads.Load()-reads), "platform-reads")
	b.ReportMetric(float64(f.net.bytes.Load()-bytes)/float64(len(f.nodes)), "bytes/instance")
	if elapsed.Seconds() > maxConfigSeconds {
		t.Errorf("declaration in force at all instances after %v, over the limit", elapsed)
	}
}

// BenchmarkPeerControl measures the cost of control traffic per instance, by the
// number of instances and engines, in a fleet without requests whose engines report
// changing load: bytes and store calls per second, processor time, and heap.
func BenchmarkPeerControl(b *testing.B) {
	for _, shape := range []struct{ nodes, engines int }{{2, 3}, {20, 36}, {40, 75}, {83, 150}} {
		b.Run(fmt.Sprintf("instances=%d/engines=%d", shape.nodes*4, shape.engines*4), func(b *testing.B) {
			for b.Loop() {
				bubble(b, func(t *testing.T) { peerControl(t, b, shape.nodes, shape.engines) })
			}
		})
	}
}

// controlSpan is the virtual duration of the measurement.
const controlSpan = 30 * time.Second

// maxControlBytes is the users' limit in bytes per second per instance; the target is
// half of it.
const maxControlBytes = 16 << 10

func peerControl(t *testing.T, b *testing.B, nodes, engines int) {
	shape := small
	shape.domains, shape.nodesPerDomain, shape.enginesPerDomain = 4, nodes, engines
	f := newTestFleet(t, shape)
	defer f.close()
	time.Sleep(10 * time.Second)
	for _, e := range f.engines {
		e.SetLoadNoise(true)
	}
	bytes, calls, cpu := f.net.bytes.Load(), f.platformCalls(), processorTime(t)
	time.Sleep(controlSpan)
	instances, seconds := float64(len(f.nodes)), controlSpan.Seconds()
	perSecond := float64(f.net.bytes.Load()-bytes) / instances / seconds
	b.ReportMetric(perSecond, "bytes/s")
	b.ReportMetric(float64(f.platformCalls()-calls)/seconds, "platform-calls/s")
	b.ReportMetric((processorTime(t)-cpu).Seconds()/instances/seconds*100, "cpu-%")
	b.ReportMetric(float64(heap())/instances/(1<<20), "heap-MB")
	if perSecond > maxControlBytes {
		t.Errorf("%v bytes per second per instance, over the limit", perSecond)
	}
}

// platformCalls returns the number of calls to the store so far, including watches.
func (f *testFleet) platformCalls() int64 {
	return f.platform.Reads.Load() + f.platform.Writes.Load() + f.platform.Watches.Load()
}

// heap returns the size of the heap in bytes after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTakeover stops one instance of a failure domain abruptly and measures the
// time and the store calls until other instances have taken over its engines.
func BenchmarkTakeover(b *testing.B) {
	for b.Loop() {
		bubble(b, func(t *testing.T) { takeover(t, b) })
	}
}

func takeover(t *testing.T, b *testing.B) {
	shape := small
	shape.nodesPerDomain, shape.enginesPerDomain = 3, 6
	f := newTestFleet(t, shape)
	defer f.close()
	time.Sleep(10 * time.Second)
	victim := f.nodes[1]
	ordered := len(victim.orders.Ordered())
	calls, start := f.platform.Reads.Load()+f.platform.Writes.Load(), time.Now()
	f.kill(victim)
	f.nodes = append(f.nodes[:1], f.nodes[2:]...)
	f.awaitUntil("its engines have new orderers", time.Minute, func() bool {
		for _, n := range f.nodes {
			for _, e := range n.tables.Engines.All() {
				if e.Orderer == victim.settings.Name {
					return false
				}
			}
		}
		return true
	})
	b.ReportMetric(time.Since(start).Seconds(), "unavailable-virtual-s")
	b.ReportMetric(float64(f.platform.Reads.Load()+f.platform.Writes.Load()-calls), "platform-calls/instance")
	b.ReportMetric(float64(ordered), "engines/instance")
}

// BenchmarkRejoin partitions a failure domain for an hour and compares the store calls
// in the minute after the partition heals with those of a minute without events.
func BenchmarkRejoin(b *testing.B) {
	for b.Loop() {
		bubble(b, func(t *testing.T) { rejoin(t, b) })
	}
}

// maxRejoinRatio is the maximum ratio of the store calls in the first minute after a
// partition to those of a minute without events.
const maxRejoinRatio = 3

func rejoin(t *testing.T, b *testing.B) {
	shape := small
	shape.nodesPerDomain, shape.enginesPerDomain = 6, 6
	f := newTestFleet(t, shape)
	defer f.close()
	time.Sleep(10 * time.Second)
	minute := func() float64 {
		before := f.platformCalls()
		time.Sleep(time.Minute)
		return float64(f.platformCalls() - before)
	}
	quiet := minute()
	f.net.setPartitioned("d1", true)
	time.Sleep(time.Hour)
	f.net.setPartitioned("d1", false)
	after := minute()
	b.ReportMetric(quiet, "quiet-calls/min")
	b.ReportMetric(after, "rejoin-calls/min")
	if after > maxRejoinRatio*quiet {
		t.Errorf("%v store calls in the minute after the partition, %v in a minute without events", after, quiet)
	}
}
