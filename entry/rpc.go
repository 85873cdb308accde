package entry

import (
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/backpressure"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/serving"
)

// The protocol between entry instances, over net/rpc. Times are sent as durations, since the clocks of
// instances are never compared.

// RPC methods.
const (
	methodExchange = "Entry.Exchange"
	methodWant     = "Entry.Want"
	methodReaches  = "Entry.Reaches"
	methodAnnounce = "Entry.Announce"
	methodUse      = "Entry.Use"
	methodCrashes  = "Entry.Crashes"
	methodTrial    = "Entry.Trial"
	methodConsult  = "Entry.Consult"
	methodDraw     = "Entry.Draw"
	methodLimits   = "Entry.Limits"
	methodTurn     = "Entry.Turn"
	methodRunsEnd  = "Entry.RunsEnd"
)

// ExchangeArgs is an instance's report to the holder.
type ExchangeArgs struct {
	holder.Report
	// Crashes are the requests under which servers ended.
	Crashes quarantine.Message
	// Uses are the demand on workspaces' limits and the shares that the instance has. ServerUses are
	// the same for servers with limits.
	Uses, ServerUses []quota.Use
	// ServerLimits are the limits that servers have stated and that have changed since the previous
	// report. SeenLimits is the revision of the holder's ledger of limits up to which the instance has
	// its changes.
	ServerLimits []backpressure.Snapshot
	SeenLimits   uint64
	// Leaving are the servers that have announced in answers that they leave.
	Leaving []directory.LeavingServer
	// ConfigVersion is that of the configuration in force at the instance, 0 if there is none.
	ConfigVersion int64
}

// WireView is a directory.EngineView with times as durations from now.
type WireView struct {
	Engine string
	Born   int64
	Units  []WireUnit
}

// WireUnit is a directory.UnitView. InMS is the time in milliseconds until the unit serves, 0 if it
// does already.
type WireUnit struct {
	Unit serving.Unit
	InMS int64
}

// ExchangeReply is the holder's answer. Held is false if the answering instance is not the holder.
type ExchangeReply struct {
	Held bool
	// Crashes are the requests under which servers ended.
	Crashes quarantine.Message
	// GaveUp is the released record of the answering instance's former lease, under which it orders no
	// more loads. It is the zero Record if there is none.
	GaveUp lease.Record
	// News is the holder's update without its views, which are sent in Views.
	News  holder.Update
	Views []WireView
	// StoreAgeMS is the maximum age of the holder's copy of the store, in milliseconds.
	StoreAgeMS int64
	// Lends is whether Loans are all shares of limits that the instance has from now on. If false, it
	// keeps its previous shares until they expire.
	Lends bool
	Loans []quota.Loan
	// ServerLoans are the same for servers with limits.
	ServerLoans []quota.Loan
	// ServerLimits are the limits that servers have stated and that have changed since SeenLimits.
	// LimitsUpTo is the next report's SeenLimits.
	ServerLimits []backpressure.Snapshot
	LimitsUpTo   uint64
	// Leaving are the servers that have announced in answers that they leave.
	Leaving []directory.LeavingServer
}

// TurnArgs asks to admit a request to a server with a limit. Told is the server's limit as known to the
// instance.
type TurnArgs struct {
	Told backpressure.Snapshot
	quota.Turn
}

// TurnReply is the holder's answer to TurnArgs.
type TurnReply struct{ quota.Answer }

// DrawArgs asks to admit a request that exceeds the instance's share of its workspace's limit.
type DrawArgs struct {
	Workspace string
	Cost      float64
	// The rest describes the request for a booking; see quota.Draw.
	Request      uint64
	Class        serving.TrafficClass
	Within, Left time.Duration
}

// draw returns the arguments without the workspace.
func (a *DrawArgs) draw() quota.Draw {
	return quota.Draw{Cost: a.Cost, Request: a.Request, Class: a.Class, Within: a.Within, Left: a.Left}
}

// LimitsArgs asks the holder for the usage of the workspaces' limits.
type LimitsArgs struct{}

// LimitsReply is the holder's answer. Held is false if the answering instance is not the holder.
type LimitsReply struct {
	Held   bool
	Totals []quota.Total
}

// DrawReply is the holder's answer to DrawArgs.
type DrawReply struct{ quota.Answer }

// WantArgs asks where a unit is or will be loaded.
type WantArgs struct{ holder.Request }

// WantReply has the engine where a unit is or will be loaded. Held is false if the answering instance
// is not the holder. Found is false if no engine has room for the unit. Engine is empty until it is
// decided which engine loads the unit. InMS is the time in milliseconds until the unit is expected to
// serve or, if Found is false, until the holder may be asked again. For is what the request waits for.
type WantReply struct {
	Held, Found bool
	Engine      string
	InMS        int64
	For         serving.Wait
}

// ReachesArgs asks whether the named holder answers the instance.
type ReachesArgs struct{ Holder string }

// ReachesReply says whether the holder has recently answered the instance.
type ReachesReply struct {
	Reaches bool
	// GaveUp is the released record of a holder that could not write it, if the instance has received
	// one.
	GaveUp lease.Record
	// Lease is what the instance knows of the last renewal of the lease.
	Lease lease.RenewalAge
}

// AnnounceArgs announces a new holder with the record that it has written.
type AnnounceArgs struct{ Record lease.Record }

// UseArgs notifies the holder of a request that begins.
type UseArgs struct{ holder.Use }

// UseReply is empty.
type UseReply struct{}

// RunsEndArgs asks an instance for the end of its requests on a copy that is being unloaded.
type RunsEndArgs struct{ holder.RunsQuery }

// RunsEndReply is the instance's answer.
type RunsEndReply struct{ holder.RunsAnswer }

// CrashesArgs has the requests under which servers ended. It is sent directly between instances while
// no holder answers, and by the holder for requests that have just become held.
type CrashesArgs struct{ Records []quarantine.Record }

// CrashesReply is empty.
type CrashesReply struct{}

// AnnounceReply is empty.
type AnnounceReply struct{}

// service handles the calls of other instances. Its exported methods have the form that net/rpc
// requires.
type service struct {
	holder     *holder.Holder
	follower   *follower
	quarantine *quarantineManager
	trials     *quarantine.Trials
	limiter    *serverLimiter
	semaphores *semaphores
	origins    *streamOrigins
	// storeAge returns the maximum age of this instance's copy of the store.
	storeAge func(now time.Time) time.Duration
}

// Exchange handles an instance's report.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	now := clock.Now()
	s.follower.watcher.recordConfigVersion(args.ConfigVersion)
	reply.Crashes = s.quarantine.answerMessage(args.Crashes, now)
	update, err := s.holder.Exchange(args.Report, now)
	if errors.Is(err, holder.ErrNotHolder) {
		reply.GaveUp = s.holder.SurrenderedRecord()
		return nil
	}
	for _, v := range update.Views {
		reply.Views = append(reply.Views, encodeView(v, now))
	}
	update.Views = nil
	reply.Held, reply.News, reply.StoreAgeMS = true, update, s.storeAge(now).Milliseconds()
	s.limiter.mergeLeaving(args.Leaving, args.Name)
	reply.Leaving = s.limiter.dir.LeavingServers()
	s.limiter.mergeLimits(args.ServerLimits, args.Name)
	reply.ServerLimits, reply.LimitsUpTo = s.limiter.ledger.Since(args.SeenLimits, now)
	loans, lends := s.holder.Lend(args.Name, holder.Uses{Workspaces: args.Uses, Servers: args.ServerUses})
	reply.Loans, reply.ServerLoans, reply.Lends = loans.Workspaces, loans.Servers, lends
	return nil
}

// Limits returns the usage of the workspaces' limits.
func (s *service) Limits(_ *LimitsArgs, reply *LimitsReply) error {
	reply.Totals, reply.Held = s.holder.Limits()
	return nil
}

// Draw answers whether a request may run that exceeds its instance's share.
func (s *service) Draw(args *DrawArgs, reply *DrawReply) error {
	reply.Answer = s.holder.Draw(args.Workspace, args.draw())
	return nil
}

// Turn answers whether a request may be sent to a server with a limit.
func (s *service) Turn(args *TurnArgs, reply *TurnReply) error {
	s.limiter.mergeLimits([]backpressure.Snapshot{args.Told}, "question")
	reply.Answer = s.holder.DrawTurn(args.Told.Server, args.Turn)
	return nil
}

// Want returns where a unit is or will be loaded.
func (s *service) Want(args *WantArgs, reply *WantReply) error {
	now := clock.Now()
	found, ok, err := s.holder.Want(args.Request, now)
	if errors.Is(err, holder.ErrNotHolder) {
		return nil
	}
	reply.Held, reply.Found, reply.Engine = true, ok, found.Engine
	reply.InMS, reply.For = millisUntil(found.Ready, now), found.WaitReason
	return nil
}

// Crashes merges another instance's records of requests under which servers ended.
func (s *service) Crashes(args *CrashesArgs, _ *CrashesReply) error {
	s.quarantine.receiveDirect(args.Records, clock.Now())
	return nil
}

// Reaches answers whether the holder answers this instance.
func (s *service) Reaches(args *ReachesArgs, reply *ReachesReply) error {
	reply.Reaches, reply.GaveUp = s.follower.reachesHolder(args.Holder, clock.Now())
	reply.Lease = s.holder.RenewalAge()
	return nil
}

// Announce applies the record of a new holder.
func (s *service) Announce(args *AnnounceArgs, _ *AnnounceReply) error {
	s.follower.handleAnnouncement(args.Record)
	return nil
}

// Use records that a request begins.
func (s *service) Use(args *UseArgs, _ *UseReply) error {
	s.holder.RequestStarted(args.Use, clock.Now())
	return nil
}

// RunsEnd answers when the instance's last request on a copy that is being unloaded has ended.
func (s *service) RunsEnd(args *RunsEndArgs, reply *RunsEndReply) error {
	reply.RunsAnswer = s.follower.answerRunsEnd(args.RunsQuery)
	return nil
}

func millisUntil(t, now time.Time) int64 { return max(0, t.Sub(now).Milliseconds()) }

func encodeView(v directory.EngineView, now time.Time) WireView {
	w := WireView{Engine: v.Engine, Born: v.Born}
	for _, u := range v.Units {
		unit := WireUnit{Unit: u.Unit}
		if !u.Ready.IsZero() {
			unit.InMS = max(1, millisUntil(u.Ready, now)) // not 0, since the unit is not known to serve
		}
		w.Units = append(w.Units, unit)
	}
	return w
}

func decodeViews(views []WireView, now time.Time) []directory.EngineView {
	decoded := make([]directory.EngineView, 0, len(views))
	for _, w := range views {
		v := directory.EngineView{Engine: w.Engine, Born: w.Born}
		for _, u := range w.Units {
			unit := directory.UnitView{Unit: u.Unit}
			if u.InMS > 0 {
				unit.Ready = now.Add(time.Duration(u.InMS) * time.Millisecond)
			}
			v.Units = append(v.Units, unit)
		}
		decoded = append(decoded, v)
	}
	return decoded
}

// serve handles calls of other instances on l until it is closed.
func (s *service) serve(l net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName("Entry", s); err != nil {
		panic(err) // the method set is fixed, so this is a programming error
	}
	budget := rpcpool.NewBudget()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(budget.Limit(conn))
	}
}
