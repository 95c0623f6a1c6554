package caller

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
)

// state is a configuration version prepared for requests. It is immutable but for the token buckets, which go on from
// version to version.
type state struct {
	version       uint64
	deployment    *settings.Deployment
	rings         *routing.RingSet
	models        map[string]*model
	services      map[string]*service
	organisations []*organisation
	// superseded is closed when a higher version is in force.
	superseded chan struct{}
}

type model struct {
	settings.Model
	router *routing.Router
}

type service struct {
	settings.Service
	// owners are the endpoints that may own claim shards.
	owners []string
}

type organisation struct {
	settings.Organisation
	hash   []byte
	bucket *rate.Limiter
}

// minBurst lets an organisation whose limit is small send a few requests at one entry at a time: divided by many entries
// its limit would otherwise be less than one request, and its callers reach only a few entries. It never exceeds
// burstTime of the whole limit.
const (
	minBurst  = 8
	burstTime = 10 * time.Second
)

// bucketOf returns the limit of an organisation at one of a number of entries.
func bucketOf(o settings.Organisation, entries int) (limit rate.Limit, burst int) {
	if o.RequestsPerSecond <= 0 {
		return rate.Inf, 0
	}
	share := o.RequestsPerSecond / float64(max(1, entries))
	burst = min(minBurst, int(o.RequestsPerSecond*burstTime.Seconds()))
	return rate.Limit(share), max(1, burst, int(share))
}

// newState prepares a deployment. previous may be nil.
func (h *Handler) newState(version uint64, d *settings.Deployment, previous *state) *state {
	s := &state{version: version, deployment: d, models: make(map[string]*model), services: make(map[string]*service),
		superseded: make(chan struct{})}
	var rings *routing.RingSet
	buckets := make(map[string]*rate.Limiter)
	if previous != nil {
		rings = previous.rings
		for _, o := range previous.organisations {
			buckets[o.Name] = o.bucket
		}
	}
	region := ""
	for _, f := range d.FailureDomains {
		if f.Name == h.FailureDomain {
			region = f.Region
		}
	}
	s.rings = routing.Rings(d, region, rings)
	var link int64
	for _, store := range d.Stores {
		link = max(link, store.LinkBytesPerSecond)
	}
	for _, m := range d.Models {
		ring := s.rings.Models[m.Name]
		s.models[m.Name] = &model{m, &routing.Router{Ring: ring, Loads: h.Loads, Hints: h.Hints, Affinity: h.Affinity,
			Costs:      routing.Costs{Policy: d.Policy, Model: m, LinkBytesPerSecond: link},
			BatchLimit: func(i int) int { return s.rings.Endpoints[ring.Endpoint(i).Name].BatchLimit },
		}}
	}
	for _, v := range d.Services {
		s.services[v.Name] = &service{Service: v, owners: owners(d, v.Name)}
	}
	for _, o := range d.Organisations {
		hash, err := hex.DecodeString(o.CredentialHash)
		if err != nil || len(hash) != sha256.Size {
			// An organisation without a usable hash has no credential that fits.
			hash = nil
		}
		limit, burst := bucketOf(o, len(d.Entries))
		bucket := buckets[o.Name]
		if bucket == nil {
			bucket = rate.NewLimiter(limit, burst)
		} else if bucket.Limit() != limit || bucket.Burst() != burst {
			bucket.SetLimit(limit)
			bucket.SetBurst(burst)
		}
		s.organisations = append(s.organisations, &organisation{o, hash, bucket})
	}
	return s
}

// owners lists the endpoints of a service that take new work. They are the same at every entry.
func owners(d *settings.Deployment, service string) (names []string) {
	leaving := make(map[string]bool)
	for _, f := range d.FailureDomains {
		leaving[f.Name] = f.State == settings.Leaving
	}
	for _, e := range d.Endpoints {
		if e.Kind == settings.ServiceEndpoint && e.Service == service && e.State == settings.Active && !leaving[e.FailureDomain] {
			names = append(names, e.Name)
		}
	}
	return names
}

// authenticate returns the organisation of the request's credential, nil if there is none. Every organisation is compared
// in constant time, whether or not an earlier one fitted.
func (s *state) authenticate(r *http.Request) *organisation {
	scheme, credential, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || credential == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(credential)))
	var found *organisation
	for _, o := range s.organisations {
		if subtle.ConstantTimeCompare(sum[:], o.hash) == 1 {
			found = o
		}
	}
	return found
}

// once tells whether calls with the method may not be repeated.
func (v *service) once(method string) bool {
	methods := v.OnceMethods
	if len(methods) == 0 {
		methods = []string{http.MethodPost}
	}
	return slices.Contains(methods, method)
}

func limitsOf(d *settings.Deployment) settings.Limits {
	l := d.Limits
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 1<<20)
	l.MaxTokens = cmp.Or(l.MaxTokens, 4096)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, 30*time.Second)
	l.RequestTimeout = cmp.Or(l.RequestTimeout, 2*time.Minute)
	return l
}
