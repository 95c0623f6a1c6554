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

// snapshot is a configuration version prepared for serving requests. It is immutable except for the token buckets, which are
// shared with the snapshots of later versions.
type snapshot struct {
	version       uint64
	deployment    *settings.Deployment
	rings         *routing.RingSet
	models        map[string]*model
	services      map[string]*service
	organisations []*organisation
	// superseded is closed once a higher version is in force.
	superseded chan struct{}
}

type model struct {
	settings.Model
	router *routing.Router
}

type service struct {
	settings.Service
	// eligibleOwners lists the endpoints that may own claim shards.
	eligibleOwners []string
}

type organisation struct {
	settings.Organisation
	// hash is the decoded CredentialHash, or nil if that is not a SHA-256 hash.
	hash   []byte
	bucket *rate.Limiter
}

// smallLimitBurst is the burst of an organisation with a small limit at each entry. The limit is divided by the number of
// entries, so that the share of one entry may be less than one request per second, although the callers of the organisation
// reach only a few entries. The burst is smaller if the undivided limit allows fewer requests in burstWindow, but at least 1.
const (
	smallLimitBurst = 8
	burstWindow     = 10 * time.Second
)

// bucketLimits returns the rate and the burst of an organisation's token bucket at one entry, given the number of entries.
func bucketLimits(o settings.Organisation, entries int) (limit rate.Limit, burst int) {
	if o.RequestsPerSecond <= 0 {
		return rate.Inf, 0
	}
	share := o.RequestsPerSecond / float64(max(1, entries))
	burst = min(smallLimitBurst, int(o.RequestsPerSecond*burstWindow.Seconds()))
	return rate.Limit(share), max(1, burst, int(share))
}

// newSnapshot prepares a deployment for serving requests. previous is the snapshot in force, or nil if there is none.
func (h *Handler) newSnapshot(version uint64, d *settings.Deployment, previous *snapshot) *snapshot {
	s := &snapshot{version: version, deployment: d, models: make(map[string]*model), services: make(map[string]*service),
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
	var linkBytesPerSecond int64
	for _, store := range d.Stores {
		linkBytesPerSecond = max(linkBytesPerSecond, store.LinkBytesPerSecond)
	}
	for _, m := range d.Models {
		ring := s.rings.Models[m.Name]
		s.models[m.Name] = &model{m, &routing.Router{Ring: ring, Loads: h.Loads, Hints: h.Hints, Affinity: h.Affinity,
			Costs:      routing.Costs{Policy: d.Policy, Model: m, LinkBytesPerSecond: linkBytesPerSecond},
			BatchLimit: func(i int) int { return s.rings.Endpoints[ring.Endpoint(i).Name].BatchLimit },
		}}
	}
	for _, svc := range d.Services {
		s.services[svc.Name] = &service{Service: svc, eligibleOwners: eligibleOwners(d, svc.Name)}
	}
	for _, o := range d.Organisations {
		hash, err := hex.DecodeString(o.CredentialHash)
		if err != nil || len(hash) != sha256.Size {
			// No credential matches an organisation without a valid hash.
			hash = nil
		}
		limit, burst := bucketLimits(o, len(d.Entries))
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

// eligibleOwners returns the endpoints of a service that take new work according to d. The result for the same d is the same at
// every entry.
func eligibleOwners(d *settings.Deployment, service string) (names []string) {
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

// authenticate returns the organisation that the request's credential belongs to, or nil if there is none. The credential is
// compared in constant time with the hashes of all organisations, even after a match.
func (s *snapshot) authenticate(r *http.Request) *organisation {
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

// nonRepeatable reports whether calls with the HTTP method must not be repeated.
func (svc *service) nonRepeatable(method string) bool {
	methods := svc.OnceMethods
	if len(methods) == 0 {
		methods = []string{http.MethodPost}
	}
	return slices.Contains(methods, method)
}

// LimitsWithDefaults returns the limits of a deployment with defaults in place of unset request limits.
func LimitsWithDefaults(d *settings.Deployment) settings.Limits {
	l := d.Limits
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 1<<20)
	l.MaxTokens = cmp.Or(l.MaxTokens, 4096)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, 30*time.Second)
	l.RequestTimeout = cmp.Or(l.RequestTimeout, 2*time.Minute)
	return l
}
