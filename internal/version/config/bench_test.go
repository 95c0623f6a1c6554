package config

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/pkg/settings"
)

// fullSize returns the stored forms of two deployments that differ in the state of one endpoint. The numbers of entries
// and organisations are proportional to endpoints, as at the full size of 10,000 endpoints, 1,300 entries and 320
// organisations.
func fullSize(b *testing.B, endpoints int) (contents [2][]byte) {
	d := settings.Deployment{Site: "Bench"}
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	domain := func(i int) string { return fmt.Sprintf("Domain%02d", i%26) }
	for i := range 26 {
		d.FailureDomains = append(d.FailureDomains, settings.FailureDomain{
			Name: domain(i), Region: fmt.Sprint("Region", i%7),
		})
	}
	for i := range endpoints * 13 / 100 {
		d.Entries = append(d.Entries, settings.Entry{
			Name: fmt.Sprintf("Entry%04d", i), Address: addr(i), FailureDomain: domain(i),
		})
	}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, settings.Endpoint{
			Name: fmt.Sprintf("Endpoint%05d", i), Address: addr(1<<17 + i), FailureDomain: domain(i),
			Model: fmt.Sprint("Model", i%10),
		})
	}
	for i := range 10 {
		d.Models = append(d.Models, settings.Model{Name: fmt.Sprint("Model", i), Version: "v1"})
	}
	for i := range endpoints * 32 / 1000 {
		d.Organisations = append(d.Organisations, settings.Organisation{
			Name: fmt.Sprintf("Organisation%03d", i), CredentialHash: fmt.Sprintf("%064x", uint64(i)*0x9e3779b97f4a7c15),
			Models: []string{"Model1", "Model2"},
		})
	}
	for i := range contents {
		d.Endpoints[endpoints/2].State = settings.TargetState(i)
		content, err := settings.Accepted{
			Operator: "bench", At: time.Unix(int64(i), 0), Deployment: d,
		}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		contents[i] = content
	}
	return contents
}

var sizes = []int{12, 1000, 4000, 10000}

func benchTracker(entry bool) *Tracker {
	t := &Tracker{Name: "Entry0001", FailureDomain: "Domain01", IsEntry: entry, Log: logr.Discard()}
	t.init()
	t.platformResponded = true
	return t
}

// BenchmarkApplyContent measures the cost of a change to a process that receives the whole content: decoding it,
// computing the delta from the preceding version (entries only) and choosing peers again.
func BenchmarkApplyContent(b *testing.B) {
	for _, entry := range []bool{false, true} {
		for _, endpoints := range sizes {
			b.Run(fmt.Sprintf("entry=%v/endpoints=%d", entry, endpoints), func(b *testing.B) {
				contents := fullSize(b, endpoints)
				t := benchTracker(entry)
				b.ReportAllocs()
				version := uint64(0)
				for b.Loop() {
					version++
					if _, err := t.applyContent(version, contents[version%2], "bench"); err != nil {
						b.Fatal(err)
					}
					_ = t.candidates()
				}
				b.ReportMetric(float64(len(contents[0])), "B/content")
			})
		}
	}
}

// BenchmarkApplyDelta measures the cost of a change to a process that receives a delta, and the size of the delta.
func BenchmarkApplyDelta(b *testing.B) {
	for _, endpoints := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			contents := fullSize(b, endpoints)
			source, receiver := benchTracker(true), benchTracker(false)
			for i, content := range contents {
				if _, err := source.applyContent(uint64(i+1), content, "bench"); err != nil {
					b.Fatal(err)
				}
			}
			if _, err := receiver.applyContent(1, contents[0], "bench"); err != nil {
				b.Fatal(err)
			}
			first, push := receiver.latest, source.PushSince(1)
			if push.Base != 1 {
				b.Fatal("PushSince returned the whole content instead of a delta")
			}
			b.ReportAllocs()
			for b.Loop() {
				receiver.latest = first
				if accepted, err := receiver.Offer(push); err != nil || !accepted {
					b.Fatal(accepted, err)
				}
				_ = receiver.candidates()
			}
			b.ReportMetric(float64(len(push.Content)), "B/content")
		})
	}
}
