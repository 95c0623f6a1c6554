package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCanonicalJSON guards against different encodings of equivalent deployments and against a value that the round trip
// through JSON loses.
func TestCanonicalJSON(t *testing.T) {
	is := is.New(t)
	d, err := parseText(minimalConfig + "[FailureDomain \"North\"]\nRegion = Gauteng\nState = Leaving\n")
	is.NoErr(err)
	is.Equal(d.FailureDomains[0].Name, "North")
	content, err := Encode(d)
	is.NoErr(err)
	is.True(strings.Contains(string(content), `"State":"Leaving"`))
	back, err := Decode(content)
	is.NoErr(err)
	is.Equal(back, d)

	other := d
	other.FailureDomains = []FailureDomain{d.FailureDomains[1], d.FailureDomains[0]}
	other.Limits = Limits{}
	other.FailureDomains[1].ReturnedAt = time.Time{}.In(time.FixedZone("", 3600))
	again, err := Encode(other)
	is.NoErr(err)
	is.Equal(string(again), string(content))
	is.Equal(other.FailureDomains[0].Name, "South") // the argument is not reordered
}

// TestDecodeIsStrict guards against accepting a document with fields or enum names that only another version of the program
// knows, and against accepting one that is empty or has trailing data.
func TestDecodeIsStrict(t *testing.T) {
	for name, content := range map[string]string{
		"unknown field":  `{"Site":"A","Colour":1}`,
		"unknown nested": `{"Limits":{"MaxTokns":1}}`,
		"undefined enum": `{"FailureDomains":[{"Name":"A","State":"Gone"}]}`,
		"enum as number": `{"FailureDomains":[{"Name":"A","State":1}]}`,
		"trailing data":  `{"Site":"A"} {}`,
		"empty":          ``,
	} {
		t.Run(name, func(t *testing.T) {
			if d, err := Decode([]byte(content)); err == nil {
				t.Errorf("accepted as %v", d)
			}
		})
	}
}
