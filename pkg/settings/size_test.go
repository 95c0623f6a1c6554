package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sizedDeployment returns a deployment with the given number of endpoints. Its other sections are in proportion to
// those of the largest deployment: 1,300 entries, 26 failure domains, 320 organisations and 10 models for 10,000 endpoints.
func sizedDeployment(endpoints int) Deployment {
	d := Deployment{Site: "Full"}
	scaled := func(full int) int { return max(1, endpoints*full/10000) }
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	for i := range scaled(26) {
		d.FailureDomains = append(d.FailureDomains, FailureDomain{Name: fmt.Sprintf("Domain%d", i), Region: fmt.Sprintf("Region%d", i/4)})
	}
	for i := range scaled(10) {
		d.Models = append(d.Models, Model{Name: fmt.Sprintf("Model%d", i), Version: "V1"})
	}
	for i := range scaled(1300) {
		d.Entries = append(d.Entries, Entry{Name: fmt.Sprintf("Entry%d", i), Address: addr(i + 1),
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)].Name})
	}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, Endpoint{Name: fmt.Sprintf("Model%d", i), Address: addr(i + 2000), ChecksFencing: true,
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)].Name, Model: d.Models[i%len(d.Models)].Name})
	}
	for i := range scaled(320) {
		o := Organisation{Name: fmt.Sprintf("Organisation%d", i), CredentialHash: credentialHash(i)}
		for _, m := range d.Models {
			o.Models = append(o.Models, m.Name)
		}
		d.Organisations = append(d.Organisations, o)
	}
	ApplyDefaults(&d)
	return Normalise(d)
}

func credentialHash(i int) string {
	sum := sha256.Sum256(fmt.Append(nil, "credential ", i))
	return hex.EncodeToString(sum[:])
}

// TestAccepted guards against a stored value that loses a field in the round trip, that is too large for the platform with
// 10,000 endpoints, or that is accepted although it is invalid.
func TestAccepted(t *testing.T) {
	at := time.Date(2026, 12, 4, 6, 0, 0, 5, time.FixedZone("", 7200))
	for _, endpoints := range []int{9, 10000} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			is := is.New(t)
			d := sizedDeployment(endpoints)
			is.NoErr(Check(d))
			content, err := Accepted{Operator: "ada", At: at, Deployment: d}.Encode()
			is.NoErr(err)
			is.True(len(content) < 1<<20)
			is.Equal(strings.HasPrefix(string(content), `{"Operator":"ada","At":"2026-12-04T04:00:00.000000005Z","Deployment":{"Site":`), endpoints == 9)
			back, err := DecodeAccepted(content)
			is.NoErr(err)
			is.Equal(back, Accepted{Operator: "ada", At: at.UTC(), Deployment: d})
		})
	}
	for _, content := range []string{"", "{}", `{"Operator":"a","Colour":1}`, "\x1f\x8b", `{"Deployment":{"Colour":1}}`} {
		if _, err := DecodeAccepted([]byte(content)); err == nil {
			t.Errorf("DecodeAccepted accepted %q", content)
		}
	}
}

// TestDiff guards against a change that Diff does not list, so that an operator applies it unseen.
func TestDiff(t *testing.T) {
	is := is.New(t)
	old := sizedDeployment(3)
	is.Equal(len(Diff(old, sizedDeployment(3))), 0)
	changed := sizedDeployment(3)
	changed.Site = "Other"
	changed.Limits.RequestTimeout = time.Hour
	changed.Limits.MaxBodyBytes = 1500
	changed.FailureDomains[0].State = Leaving
	changed.Endpoints = changed.Endpoints[1:]
	changed.Models = append(changed.Models, Model{Name: "Titles", Version: "V2"})
	changed.Organisations[0].Models = nil
	changed.Organisations[0].CredentialHash = credentialHash(7)
	var got []string
	for _, c := range Diff(old, changed) {
		got = append(got, c.String())
	}
	is.Equal(strings.Join(got, "\n"), strings.Join([]string{
		`Site.Name: Full -> Other`,
		`Limits.MaxBodyBytes: 1MiB -> 1500B`,
		`Limits.RequestTimeout: 2m -> 1h`,
		`FailureDomain "Domain0".State: Active -> Leaving`,
		`Endpoint "Model0": Address=10.0.7.208:7000 FailureDomain=Domain0 Model=Model0 ChecksFencing=true BatchLimit=16 ColdLimit=2 -> absent`,
		`Model "Titles": absent -> Version=V2 PrefillTokensPerSecond=8000 DecodeTokensPerSecond=50 BlockTokens=1024 BytesPerToken=128KiB`,
		`Organisation "Organisation0".CredentialHash: ` + credentialHash(0)[:8] + `... -> ` + credentialHash(7)[:8] + `...`,
		`Organisation "Organisation0".Models: Model0 -> ""`,
	}, "\n"))
}

// BenchmarkAccepted measures the size of the stored value and the cost of decoding it, which every entry and agent does for
// each configuration change.
func BenchmarkAccepted(b *testing.B) {
	for _, endpoints := range []int{100, 1000, 10000} {
		content, err := Accepted{Operator: "ada", Deployment: sizedDeployment(endpoints)}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := DecodeAccepted(content); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(content)), "stored-B")
		})
	}
}

// BenchmarkParse measures the conversion of INI text into a checked deployment.
func BenchmarkParse(b *testing.B) {
	for _, endpoints := range []int{100, 1000, 10000} {
		var text strings.Builder
		text.WriteString("[Site]\nName = Full\n[Model \"Notes\"]\nVersion = V1\n[FailureDomain \"South\"]\nRegion = Gauteng\n" +
			"[Entry \"Entry1\"]\nAddress = 127.0.0.1:7001\nFailureDomain = South\n")
		for _, e := range sizedDeployment(endpoints).Endpoints {
			fmt.Fprintf(&text, "[Endpoint %q]\nAddress = %s\nFailureDomain = South\nModel = Notes\n", e.Name, e.Address)
		}
		source := Source{File: "base.ini", Content: []byte(text.String())}
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(source); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
