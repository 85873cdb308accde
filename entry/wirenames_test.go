package entry

import (
	"net/rpc"
	"reflect"
	"strings"
	"testing"

	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/command/runonce"
	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
)

// TestMessageFieldNames checks that the messages between instances keep the field names of the builds in use. Of
// the service Peer it lists the methods of the Handler; package peer checks that the service has the same.
func TestMessageFieldNames(t *testing.T) {
	lines := messageNames("Entry", reflect.TypeFor[*service]())
	checkNames(t, "message-names.txt", append(lines, messageNames("Peer", reflect.TypeFor[peer.Handler]())...))
}

// messageNames lists the messages of all methods of t, whose last two parameters are arguments and reply.
func messageNames(name string, t reflect.Type) []string {
	var lines []string
	for m := range t.Methods() {
		path, parameters := name+"."+m.Name, m.Type.NumIn()
		lines = append(lines, gobCodec.names(path+".args", m.Type.In(parameters-2))...)
		lines = append(lines, gobCodec.names(path+".reply", m.Type.In(parameters-1))...)
	}
	return lines
}

// TestMethodNames checks that the service is registered under the name that TestMessageFieldNames lists.
func TestMethodNames(t *testing.T) {
	l := newMemoryListener()
	defer l.closeAll()
	go (&service{}).serve(l)
	conn, err := l.dial(t.Context(), &memoryLink{})
	if err != nil {
		t.Fatal(err)
	}
	client := rpc.NewClient(conn)
	for m := range reflect.TypeFor[*service]().Methods() {
		// If the method exists, gob refuses arguments of a wrong type and the method does not run.
		if err := client.Call("Entry."+m.Name, 0, nil); err == nil || !strings.HasPrefix(err.Error(), "gob: ") {
			t.Errorf("Entry.%s with arguments of a wrong type: %v; want an error of gob", m.Name, err)
		}
	}
}

// TestRecordFieldNames checks that the records in the store keep the keys of the builds in use.
func TestRecordFieldNames(t *testing.T) {
	var lines []string
	for key, record := range map[string]reflect.Type{
		holder.KeyLease:       reflect.TypeFor[lease.Record](),
		prefixMembers:         reflect.TypeFor[member](),
		prefixVersions:        reflect.TypeFor[versionMark](),
		prefixOrigins:         reflect.TypeFor[skew.Digests](),
		prefixRecentOrigins:   reflect.TypeFor[skew.Digests](),
		prefixQuarantine:      reflect.TypeFor[heldRequest](),
		"replicas/":           reflect.TypeFor[limits.Record](), // package holder checks this key
		store.KeyConfig:       reflect.TypeFor[table.Accepted](),
		store.PrefixEngines:   reflect.TypeFor[placement.EngineRecord](),
		store.PrefixInstances: reflect.TypeFor[table.Member](),
		store.PrefixRuns:      reflect.TypeFor[runonce.Record](),
		store.PrefixSlots:     reflect.TypeFor[placement.ModelSlots](),
	} {
		lines = append(lines, jsonCodec.names(key, record)...)
	}
	// The platform writes these.
	lines = append(lines, platform.KeyConfig, platform.PrefixServers, store.PrefixBackends)
	checkNames(t, "record-names.txt", lines)
}
