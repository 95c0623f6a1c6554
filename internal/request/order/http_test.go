package order

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/service"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/internal/standin/orders"
	standin "primrosecourse/internal/standin/platform"
)

// TestOverHTTP guards what the fakes cannot show: object names and errors of the real platform client, and a service
// connection that breaks after the order ran.
func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	objects, svc := standin.NewServer(), &orders.Service{}
	objectServer, serviceServer := httptest.NewServer(objects.Handler()), httptest.NewServer(svc.Handler())
	defer objectServer.Close()
	defer serviceServer.Close()
	p := platform.New(netip.MustParseAddrPort(objectServer.Listener.Addr().String()))
	defer p.Close()
	s := &site{t: t, preferred: "A"}
	defer s.close()
	start := func() *Owner {
		o, _ := s.owner("A", func(o *Owner) {
			o.Platform, o.Service = p, service.New(netip.MustParseAddrPort(serviceServer.Listener.Addr().String()))
		})
		for !o.enter() {
			runtime.Gosched() // until Run takes orders
		}
		o.leave()
		return o
	}
	o := start()
	told := func(key string) string { return brief(o.Execute(context.Background(), order(key, "body"))) }
	is.Equal(told("a"), "201 {\"Number\":1}\n")
	objects.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
	is.Equal(told("b"), "201 {\"Number\":2}\n")
	svc.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Route: "/orders", Count: 1})
	is.Equal(told("c"), "OutcomeUnknown ReasonReplyLost")
	is.Equal(told("c"), "OutcomeUnknown ReasonClaimedEarlier")
	objects.Faults.Set(fault.Rule{Kind: fault.Outage})
	is.Equal(told("d"), "NotRun ReasonPlatformDown retry")
	objects.Faults.ClearAll()
	s.close()
	o = start()
	is.Equal(told("b"), "replayed 201 {\"Number\":2}\n")
	is.Equal(told("c"), "OutcomeUnknown ReasonClaimedEarlier")
	is.Equal(len(svc.Ledger()), 3)
}
