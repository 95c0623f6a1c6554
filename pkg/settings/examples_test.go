package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestExamples guards against examples that fail to load or whose numbers of sections and endpoints differ from those
// that the test expects.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		dir, site                                  string
		models, services, stores, serviceEndpoints int
	}{
		{"kleinkloof", "Kleinkloof", 12, 1, 1, 3},
		{"lakeshore", "Lakeshore", 9, 2, 2, 3},
	} {
		t.Run(c.dir, func(t *testing.T) {
			is := is.New(t)
			dir := "../../examples/" + c.dir + "/"
			d, err := Load(dir+"base.ini", dir+"site.ini")
			is.NoErr(err)
			is.Equal(d.Site, c.site)
			is.Equal(len(d.FailureDomains), 3)
			is.Equal(len(d.Organisations), 10)
			is.Equal(len(d.Services), c.services)
			is.Equal(len(d.Stores), c.stores)
			count := map[EndpointKind]int{}
			domains := map[string]map[string]bool{}
			for _, e := range d.Endpoints {
				count[e.Kind]++
				is.True(e.Address.Addr().IsLoopback())
				if domains[e.Model] == nil {
					domains[e.Model] = map[string]bool{}
				}
				domains[e.Model][e.FailureDomain] = true
			}
			is.Equal(count, map[EndpointKind]int{ModelEndpoint: c.models, ServiceEndpoint: c.serviceEndpoints})
			for _, m := range d.Models {
				is.Equal(len(domains[m.Name]), 3) // each model stays available after the loss of two failure domains
			}
			// The comments of the base file state the credentials of these hashes.
			for _, o := range d.Organisations {
				sum := sha256.Sum256([]byte("local-" + strings.ToLower(o.Name)))
				is.Equal(o.CredentialHash, hex.EncodeToString(sum[:]))
			}
		})
	}
}
