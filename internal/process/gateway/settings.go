package gateway

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"primrosecourse/internal/process/budget"
)

// Settings are the settings of a gateway, which it reads when it starts.
type Settings struct {
	// Name is the name of the gateway, Address its IP address and FailureDomain the failure domain of its machine.
	Name          string
	Address       netip.Addr
	FailureDomain string
	// Callers is the listen address for callers and Readiness that for the load balancer's readiness checks.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	// Metrics is the listen address for metrics.
	Metrics netip.AddrPort
	// FirstPeerPort and LastPeerPort are the first and the last port for traffic between gateways.
	FirstPeerPort int
	LastPeerPort  int
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryMegabytes is the memory that the process may use, in MiB. 0, which a settings file cannot set, means no bound.
	MemoryMegabytes int
	// MaxDescriptors is the number of files and sockets that the process may have open. 0, which a settings file cannot set,
	// means no bound.
	MaxDescriptors int
	// RepeatRatio, RepeatExtra and RepeatSpan are the retry budget of each service, which all gateways share.
	RepeatRatio float64
	RepeatExtra float64
	RepeatSpan  time.Duration
	// StopTime bounds the time from the stop signal to the end of the process.
	StopTime time.Duration
	// LeaseTime is the time after an order to an endpoint within which no other gateway may send orders to that endpoint. ThawTime
	// is added to the time for which a gateway that takes over the lease waits, to allow for a previous holder that was suspended.
	LeaseTime time.Duration
	ThawTime  time.Duration
	// VersionTime is the time since a weight version was named from which no request may begin on an older one.
	VersionTime time.Duration
	// MaxWaiting is the number of requests to one service that may wait in a queue for room at its endpoints; 0 for no queue, Unset if the
	// file does not say.
	MaxWaiting int
	// Contracts are the platform's contracts in force.
	Contracts []string
	// MaxHedgeShare is the share of the requests of a service that may be sent to a second endpoint while the first one still works on them.
	// 0, the default, means none.
	MaxHedgeShare float64
	// ExposeShare and ExposeSlack bound the requests that a bad target of a rollout gets: a share of those of its service, and so many more.
	// RollbackTime is the time after its 50th bad answer within which it gets the last one. The defaults are DefaultExposeShare,
	// DefaultExposeSlack and DefaultRollbackTime.
	ExposeShare  float64
	ExposeSlack  float64
	RollbackTime time.Duration
}

// Unset is the value of a setting that the file does not have and that depends on the contracts.
const Unset = -1

// The bounds on rollouts of a site that states none.
const (
	DefaultExposeShare  = 0.1
	DefaultExposeSlack  = 50
	DefaultRollbackTime = 5 * time.Second
)

// LoadAddress returns the address at which the gateway receives the load reports of other gateways.
func (s *Settings) LoadAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.Address, uint16(s.FirstPeerPort))
}

// RelayAddress returns the address at which the gateway serves other gateways the contents of the KV stores that it watches.
func (s *Settings) RelayAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.Address, uint16(s.LastPeerPort))
}

// Budget divides the memory and descriptors that the settings allow.
func (s *Settings) Budget() budget.Budget { return budget.New(s.MemoryMegabytes, s.MaxDescriptors) }

// ReadSettings reads a settings file in INI format. If values are invalid, the error names the file and the section and key of the
// first of them, and states what is allowed.
func ReadSettings(path string) (s Settings, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", path) }()
	file, err := ini.Load(path)
	if err != nil {
		return s, err
	}
	r := &reader{file: file}
	s = Settings{
		Name:            r.text("Gateway", "Name"),
		Address:         r.addr("Gateway", "Address"),
		FailureDomain:   r.text("Gateway", "FailureDomain"),
		Callers:         r.addrPort("Gateway", "Callers"),
		Readiness:       r.addrPort("Gateway", "Readiness"),
		Metrics:         r.addrPort("Gateway", "Metrics"),
		FirstPeerPort:   int(r.number("Gateway", "FirstPeerPort", 1, 65535)),
		LastPeerPort:    int(r.number("Gateway", "LastPeerPort", 1, 65535)),
		Store:           r.addrPort("Store", "Address"),
		MemoryMegabytes: int(r.number("Limits", "MemoryMegabytes", 16, 1<<20)),
		MaxDescriptors:  int(r.number("Limits", "MaxDescriptors", 256, 1<<24)),
		RepeatRatio:     r.number("Bounds", "RepeatRatio", 0, 10),
		RepeatExtra:     r.number("Bounds", "RepeatExtra", 0, 1e6),
		RepeatSpan:      r.duration("Bounds", "RepeatSpan"),
		StopTime:        r.duration("Bounds", "StopTime"),
		LeaseTime:       r.duration("Bounds", "LeaseTime"),
		ThawTime:        r.duration("Bounds", "ThawTime"),
		VersionTime:     r.duration("Bounds", "VersionTime"),
		MaxWaiting:      int(r.optionalNumber("Queue", "MaxWaiting", 0, 10000, Unset)),
		Contracts:       r.file.Section("Platform").Key("Contracts").Strings(","),
		MaxHedgeShare:   r.optionalNumber("Hedging", "MaxShare", 0, 1, 0),
		ExposeShare:     DefaultExposeShare,
		ExposeSlack:     DefaultExposeSlack,
		RollbackTime:    DefaultRollbackTime,
	}
	if r.has("Bounds", "ExposeShare") {
		s.ExposeShare = r.number("Bounds", "ExposeShare", 0, 1)
	}
	if r.has("Bounds", "ExposeSlack") {
		s.ExposeSlack = r.number("Bounds", "ExposeSlack", 0, 1e6)
	}
	if r.has("Bounds", "RollbackTime") {
		s.RollbackTime = r.duration("Bounds", "RollbackTime")
	}
	return s, r.err
}

// reader reads values from an INI file and records the first invalid one in err.
type reader struct {
	file *ini.File
	err  error
}

func (r *reader) invalid(section, key, value, allowed string) {
	if r.err == nil {
		r.err = errors.Newf("[%s] %s = %q: must be %s", section, key, value, allowed)
	}
}

// has reports whether an optional key is there.
func (r *reader) has(section, key string) bool { return r.file.Section(section).HasKey(key) }

func (r *reader) text(section, key string) string {
	value := r.file.Section(section).Key(key).String()
	if value == "" {
		r.invalid(section, key, value, "set")
	}
	return value
}

func (r *reader) addr(section, key string) netip.Addr {
	value := r.file.Section(section).Key(key).String()
	addr, err := netip.ParseAddr(value)
	if err != nil {
		r.invalid(section, key, value, "an IP address")
	}
	return addr
}

func (r *reader) addrPort(section, key string) netip.AddrPort {
	value := r.file.Section(section).Key(key).String()
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		r.invalid(section, key, value, "an IP address and a port, such as 127.0.0.1:8080")
	}
	return addr
}

func (r *reader) number(section, key string, minimum, maximum float64) float64 {
	value := r.file.Section(section).Key(key).String()
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= minimum && n <= maximum) {
		r.invalid(section, key, value, "a number from "+strconv.FormatFloat(minimum, 'g', -1, 64)+" to "+
			strconv.FormatFloat(maximum, 'g', -1, 64))
	}
	return n
}

// optionalNumber returns absent if the key is not in the file.
func (r *reader) optionalNumber(section, key string, minimum, maximum, absent float64) float64 {
	if !r.file.Section(section).HasKey(key) {
		return absent
	}
	return r.number(section, key, minimum, maximum)
}

func (r *reader) duration(section, key string) time.Duration {
	value := r.file.Section(section).Key(key).String()
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		r.invalid(section, key, value, "a positive duration with a unit, such as 500ms")
	}
	return d
}
