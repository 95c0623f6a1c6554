package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testCredentialHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// minimalConfig is a base file with one section of each kind that a deployment needs, and one service. Tests append to it
// or replace lines of it.
const minimalConfig = `[Site]
Name = Small
[FailureDomain "South"]
Region = Gauteng
[Entry "Entry1"]
Address = 127.0.0.1:7001
FailureDomain = South
[Endpoint "Model1"]
Address = 127.0.0.1:7101
FailureDomain = South
Model = Notes
[Model "Notes"]
Version = V1
[Service "Orders"]
[Organisation "Org1"]
CredentialHash = ` + testCredentialHash + `
Models = Notes
`

func parseText(base string, overlays ...string) (Deployment, error) {
	sources := []Source{{File: "base.ini", Content: []byte(base)}}
	for _, o := range overlays {
		sources = append(sources, Source{File: "site.ini", Content: []byte(o)})
	}
	return Parse(sources...)
}

// TestOverlayReplacesKeys guards against an overlay that has no effect or that drops the other keys of its section.
func TestOverlayReplacesKeys(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	base, overlay := filepath.Join(dir, "base.ini"), filepath.Join(dir, "site.ini")
	is.NoErr(os.WriteFile(base, []byte("\xef\xbb\xbf"+minimalConfig+"[Limits]\nMaxTokens = 10\nQueueLength = 5\n"), 0o600))
	is.NoErr(os.WriteFile(overlay, []byte("[Limits]\r\nMaxTokens = 20 # site\r\n[Site]\nName = \"Other # site\"\n"), 0o600))
	d, err := Load(base, overlay)
	is.NoErr(err)
	is.Equal(d.Limits.MaxTokens, 20)
	is.Equal(d.Limits.QueueLength, 5)
	is.Equal(d.Site, "Other # site")
	is.Equal(d.Endpoints[0].BatchLimit, 16)
	is.Equal(d.Services[0].OnceMethods, []string{"POST"})
	_, err = Load(filepath.Join(dir, "missing.ini"), "")
	is.True(os.IsNotExist(err) || strings.Contains(err.Error(), "missing.ini"))
}

// TestProblems guards against an invalid configuration that is accepted, or reported with the wrong position or without
// the allowed values.
func TestProblems(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		want           string // the prefixes of the expected problems, one a line
	}{
		{"unknown section", "[Service ", "[Servce ", `base.ini:14: [Servce "Orders"] unknown section; allowed: [Endpoint "Name"]`},
		{"unknown key", "Version =", "Versoin =", "base.ini:12: [Model \"Notes\"] Version: value is missing; allowed: a name\n" +
			`base.ini:13: [Model "Notes"] Versoin: unknown key; allowed: BlockTokens, `},
		{"duplicate key", "Version = V1", "Version = V1\nVersion = V2", `base.ini:14: [Model "Notes"] Version: duplicate key, first at line 13`},
		{"duplicate section", "[Service ", "[Site]\n[Service ", `base.ini:14: [Site] duplicate section, first at line 1`},
		{"section without name", "[Service ", "[Model]\n[Service ", `base.ini:14: [Model] section needs a name`},
		{"site with name", "[Site]", "[Site \"A\"]", "base.ini:1: [Site] Name: value is missing\nbase.ini:1: [Site \"A\"] section takes no name"},
		{"malformed name", "Service \"Orders", "Service \"a/b", `base.ini:14: [Service "a/b"] malformed name; allowed: 1 to 63`},
		{"malformed header", "[Service \"Orders\"]", "[Service", `base.ini:14: malformed section header`},
		{"key without delimiter", "Version = V1", "Version = V1\nsecret", `base.ini:14: [Model "Notes"] malformed line; allowed: [Section]`},
		{"key outside a section", "[Site]", "A = b\n[Site]", `base.ini:1: A: key outside a section`},
		{"key without value", "Version = V1", "Version =", `base.ini:13: [Model "Notes"] Version: value is missing`},
		{"value over several lines", "Version = V1", "Version = `V1", `base.ini:13: [Model "Notes"] Version: values over several lines`},
		{"control character", "Version = V1", "Version = V1\nA = \x00", `base.ini:14: line has the control character U+0000`},
		{"invalid UTF-8", "Version = V1", "Version = V1\n\xff", `base.ini:14: line is not valid UTF-8`},
		{"duration without unit", "[Service ", "[Limits]\nDrainTimeout = 30\n[Service ", `base.ini:15: [Limits] DrainTimeout: "30": not a duration with unit; allowed: a duration with unit such as 500ms, 5s, 2m or 24h from 1s to 1h`},
		{"malformed byte size", "[Service ", "[Limits]\nMaxBodyBytes = 1XB\n[Service ", `base.ini:15: [Limits] MaxBodyBytes: "1XB": not a number of bytes`},
		{"byte size overflow", "[Service ", "[Limits]\nMaxBodyBytes = 9999999999GB\n[Service ", `base.ini:15: [Limits] MaxBodyBytes: "9999999999GB": not a number of bytes`},
		{"fractional number", "[Service ", "[Limits]\nMaxTokens = 1.5\n[Service ", `base.ini:15: [Limits] MaxTokens: "1.5": not a whole number; allowed: a whole number from 1 to 131072`},
		{"out of range", "[Service ", "[Limits]\nMaxTokens = -1\n[Service ", `base.ini:15: [Limits] MaxTokens: -1 is out of range`},
		{"explicit zero", "[Service ", "[Limits]\nRetryRatio = 0\n[Service ", `base.ini:15: [Limits] RetryRatio: "0": out of range; allowed: a number from 0.001 to 1`},
		{"ratio above 1", "[Service ", "[Limits]\nRetryRatio = 1.1\n[Service ", `base.ini:15: [Limits] RetryRatio: 1.1 is out of range`},
		{"NaN", "[Service ", "[Policy]\nLinkWeight = NaN\n[Service ", `base.ini:15: [Policy] LinkWeight: "NaN": not a number`},
		{"header timeout above request timeout", "[Service ", "[Limits]\nHeaderTimeout = 10s\nRequestTimeout = 9s\nBodyTimeout = 9s\n[Service ", `base.ini:15: [Limits] HeaderTimeout: 10s exceeds RequestTimeout`},
		{"body timeout above request timeout", "[Service ", "[Limits]\nRequestTimeout = 29s\n[Service ", `base.ini:14: [Limits] BodyTimeout: 30s exceeds RequestTimeout`},
		{"claim retention below request timeout", "[Service ", "[Limits]\nClaimRetention = 1m\n[Service ", `base.ini:15: [Limits] ClaimRetention: 1m is below RequestTimeout`},
		{"more watchers than entries", "[Service ", "[Limits]\nWatchersPerDomain = 3\n[Service ", `base.ini:15: [Limits] WatchersPerDomain: 3 is more than any`},
		{"host name as address", "127.0.0.1:7101", "localhost:7101", `base.ini:9: [Endpoint "Model1"] Address: "localhost:7101": not an IP address with port; allowed: IP:port`},
		{"unspecified address", "127.0.0.1:7101", "0.0.0.0:7101", `base.ini:9: [Endpoint "Model1"] Address: 0.0.0.0:7101 is the unspecified address`},
		{"port 0", "127.0.0.1:7101", "127.0.0.1:0", `base.ini:9: [Endpoint "Model1"] Address: 127.0.0.1:0 has port 0`},
		{"multicast address", "127.0.0.1:7101", "[ff02::1]:7101", `base.ini:9: [Endpoint "Model1"] Address: [ff02::1]:7101 is a multicast address`},
		{"shared address", "127.0.0.1:7101", "[::ffff:127.0.0.1]:7001", `base.ini:9: [Endpoint "Model1"] Address: 127.0.0.1:7001 is the address of [Entry "Entry1"] too`},
		{"unknown failure domain", "7101\nFailureDomain = South", "7101\nFailureDomain = North", `base.ini:10: [Endpoint "Model1"] FailureDomain: there is no [FailureDomain "North"]`},
		{"unknown models", "Models = Notes", "Models = Notes, A, B", "base.ini:17: [Organisation \"Org1\"] Models: there is no [Model \"A\"]\nbase.ini:17: [Organisation \"Org1\"] Models: there is no [Model \"B\"]"},
		{"model twice", "Models = Notes", "Models = Notes, Notes", `base.ini:17: [Organisation "Org1"] Models: "Notes, Notes": name twice`},
		{"organisation without models", "Models = Notes", "", `base.ini:15: [Organisation "Org1"] Models: value is missing`},
		{"endpoint without model", "Model = Notes", "", `base.ini:8: [Endpoint "Model1"] Model: a ModelEndpoint needs it`},
		{"service of a model endpoint", "Model = Notes", "Model = Notes\nService = Orders", `base.ini:12: [Endpoint "Model1"] Service: a ModelEndpoint has none`},
		{"unknown endpoint kind", "Model = Notes", "Model = Notes\nKind = Model", `base.ini:12: [Endpoint "Model1"] Kind: "Model": not one of the names; allowed: ModelEndpoint, ServiceEndpoint`},
		{"cold limit above batch limit", "Model = Notes", "Model = Notes\nBatchLimit = 3\nColdLimit = 4", `base.ini:13: [Endpoint "Model1"] ColdLimit: 4 exceeds BatchLimit`},
		{"unknown method", "[Service \"Orders\"]", "[Service \"Orders\"]\nOnceMethods = post", `base.ini:15: [Service "Orders"] OnceMethods: "post" is not a method`},
		{"credential in plain text", testCredentialHash, "sesame", `base.ini:16: [Organisation "Org1"] CredentialHash: not a SHA-256; allowed: 64 lower-case`},
		{"empty credential", testCredentialHash, emptyCredentialHash, `base.ini:16: [Organisation "Org1"] CredentialHash: the SHA-256 of an empty credential`},
		{"shared credential", "[Service ", "[Organisation \"Org2\"]\nModels = Notes\nCredentialHash = " + testCredentialHash + "\n[Service ", `base.ini:19: [Organisation "Org1"] CredentialHash: [Organisation "Org2"] has the same`},
		{"missing entry", "[Entry \"Entry1\"]\nAddress = 127.0.0.1:7001\nFailureDomain = South\n", "", `base.ini:1: [Entry] section is missing`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(minimalConfig, c.from, c.to, 1)
			is.True(text != minimalConfig)
			d, err := parseText(text)
			if err == nil {
				t.Fatal("the invalid configuration was accepted")
			}
			is.Equal(d, Deployment{})
			got, want := strings.Split(err.Error(), "\n"), strings.Split(c.want, "\n")
			if len(got) != len(want) {
				t.Fatalf("got  %s\nwant %s", err, c.want)
			}
			for i := range want {
				if !strings.HasPrefix(got[i], want[i]) {
					t.Errorf("got  %s\nwant %s", got[i], want[i])
				}
				is.True(strings.Contains(got[i], "; allowed: "))
			}
			is.True(!strings.Contains(err.Error(), "sesame"))
		})
	}
}

// TestProblemsAreSorted guards against an error that contains only the first problem, or problems that are not sorted by
// file and line.
func TestProblemsAreSorted(t *testing.T) {
	is := is.New(t)
	_, err := parseText(strings.Replace(minimalConfig, "Version = V1", "Version =", 1)+"[Nope]\nX = 1\n",
		"[Limits]\nMaxTokens = x\n\nQueueLength = 0\n")
	problems, ok := err.(Problems)
	is.True(ok)
	var positions []string
	for _, p := range problems {
		positions = append(positions, strings.SplitN(p.String(), " ", 2)[0])
	}
	is.Equal(positions, []string{"base.ini:13:", "base.ini:18:", "site.ini:2:", "site.ini:4:"})
}

// TestApplyPreservesState guards against an apply that sets a failure domain or an endpoint back to Active after an
// operator took it out.
func TestApplyPreservesState(t *testing.T) {
	is := is.New(t)
	current, err := parseText(minimalConfig)
	is.NoErr(err)
	current.FailureDomains[0].State = Leaving
	current.Endpoints[0].State = Leaving
	sources := []Source{{File: "base.ini", Content: []byte(minimalConfig)}}
	d, err := parse(current, sources)
	is.NoErr(err)
	is.Equal(d, current)
	sources[0].Content = []byte(strings.Replace(minimalConfig, "Region", "State = Active\nRegion", 1))
	d, err = parse(current, sources)
	is.NoErr(err)
	is.Equal(d.FailureDomains[0].State, Active)
	is.Equal(d.Endpoints[0].State, Leaving)
}
