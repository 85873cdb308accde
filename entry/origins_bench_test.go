package entry

import (
	"net"
	"net/rpc"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// byteCountingConn counts the bytes that are written.
type byteCountingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c byteCountingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkRecordOrigin: what one copy of an origin costs both instances together, and its bytes in both directions.
func BenchmarkRecordOrigin(b *testing.B) {
	server := rpc.NewServer()
	s := &service{follower: &follower{}, origins: newTestOrigins(directory.New(), &versionMarks{})}
	if err := server.RegisterName("Entry", s); err != nil {
		b.Fatal(err)
	}
	near, far := net.Pipe()
	var written atomic.Int64
	go server.ServeConn(byteCountingConn{far, &written})
	client := rpc.NewClient(byteCountingConn{near, &written})
	defer client.Close()
	origin := skew.Origin{Service: "dele69a", Version: "v1.1"}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		args := &RecordOriginArgs{Attempt: "9c41d07be2a3" + strconv.Itoa(1000+n), Origin: origin}
		if err := client.Call(methodRecordOrigin, args, &RecordOriginReply{}); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(written.Load())/float64(n), "bytes/op")
}

// BenchmarkMixedOneVersion: what a stream costs while its service has one software version.
func BenchmarkMixedOneVersion(b *testing.B) {
	dir := directory.New()
	dir.ApplyServer(serving.Server{ID: "a", Service: "s", Version: "v1", Revision: 1}, clock.Now())
	until := clock.Now().Add(time.Hour)
	marks := &versionMarks{}
	marks.certainUntil.Store(&until)
	o := newTestOrigins(dir, marks)
	b.ReportAllocs()
	for b.Loop() {
		if o.mixed("s") {
			b.Fatal("mixed")
		}
	}
}
