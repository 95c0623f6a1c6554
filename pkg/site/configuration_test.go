package site_test

import (
	"testing"

	"github.com/matryer/is"

	"primrosecourse/pkg/site"
)

// TestSharing guards against organisations that find cached parts which a dedicated one made before it was dedicated, and against parts that are lost
// with a configuration that changes nothing about who shares them.
func TestSharing(t *testing.T) {
	sharing := func(organisations ...site.Organisation) string {
		return site.NewConfiguration(1, nil, nil, organisations, site.Limits{}).Sharing()
	}
	own := func(name string) site.Organisation { return site.Organisation{Name: name, Dedicated: true} }
	others := []site.Organisation{{Name: "x"}, {Name: "y", Credentials: []string{"k"}}}
	is := is.New(t)
	is.Equal(sharing(others...), "")
	is.Equal(sharing(append(others, own("a"), own("b"))...), sharing(own("b"), own("a")))
	is.Equal(sharing(own("a"), own("a")), sharing(own("a")))
	seen := map[string]int{}
	for i, list := range [][]site.Organisation{others, {own("a")}, {own("b")}, {own("a"), own("b")}, {own("ab")}, {own(`a""b`)}, {own(`a"`), own(`"b`)}, {own("")}} {
		j, twice := seen[sharing(list...)]
		if seen[sharing(list...)] = i; twice {
			t.Errorf("cases %d and %d: the same organisations share", i, j)
		}
	}
}

// TestIsDedicated guards against an organisation that is treated as in the configuration in which it was looked up.
func TestIsDedicated(t *testing.T) {
	is := is.New(t)
	before := site.NewConfiguration(1, nil, nil, []site.Organisation{{Name: "a", Credentials: []string{"k"}}, {Name: "b", Dedicated: true, Credentials: []string{"l"}}}, site.Limits{})
	after := site.NewConfiguration(2, nil, nil, []site.Organisation{{Name: "a", Dedicated: true}}, site.Limits{})
	a, _ := before.Organisation("k")
	b, _ := before.Organisation("l")
	is.True(!before.IsDedicated(a))
	is.True(after.IsDedicated(a))
	is.True(after.IsDedicated(b)) // no longer configured
}
