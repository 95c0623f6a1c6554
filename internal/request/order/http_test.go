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

// TestOwnerOverHTTP guards against faults that the fakes cannot show: in object names and errors of the real platform
// client, and in the handling of a service connection that breaks after the order ran.
func TestOwnerOverHTTP(t *testing.T) {
	is := is.New(t)
	objects, svc := standin.NewServer(), &orders.Service{}
	objectServer, serviceServer := httptest.NewServer(objects.Handler()), httptest.NewServer(svc.Handler())
	defer objectServer.Close()
	defer serviceServer.Close()
	p := platform.New(netip.MustParseAddrPort(objectServer.Listener.Addr().String()))
	defer p.Close()
	f := &fixture{t: t, preferred: "A"}
	defer f.close()
	start := func() *Owner {
		o, _ := f.startOwner("A", func(o *Owner) {
			o.Platform, o.Service = p, service.New(netip.MustParseAddrPort(serviceServer.Listener.Addr().String()))
		})
		for !o.beginWork() {
			runtime.Gosched() // until Run accepts orders
		}
		o.endWork()
		return o
	}
	o := start()
	execute := func(key string) string { return summary(o.Execute(context.Background(), newOrder(key, "body"))) }
	is.Equal(execute("a"), "201 {\"Number\":1}\n")
	objects.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
	is.Equal(execute("b"), "201 {\"Number\":2}\n")
	svc.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Route: "/orders", Count: 1})
	is.Equal(execute("c"), "OutcomeUnknown ReasonReplyLost")
	is.Equal(execute("c"), "OutcomeUnknown ReasonClaimedEarlier")
	objects.Faults.Set(fault.Rule{Kind: fault.Outage})
	is.Equal(execute("d"), "NotRun ReasonPlatformDown retry")
	objects.Faults.ClearAll()
	f.close()
	o = start()
	is.Equal(execute("b"), "replayed 201 {\"Number\":2}\n")
	is.Equal(execute("c"), "OutcomeUnknown ReasonClaimedEarlier")
	is.Equal(len(svc.Ledger()), 3)
}
