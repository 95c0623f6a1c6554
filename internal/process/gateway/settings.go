package gateway

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Settings are what a gateway is told at its start.
type Settings struct {
	Name          string
	Address       netip.Addr
	FailureDomain string
	// Callers is where callers are served, Readiness where the balancer asks whether to send them here.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	// Metrics is where the metrics are served.
	Metrics netip.AddrPort
	// FirstPeerPort and LastPeerPort bound the ports for other gateways.
	FirstPeerPort int
	LastPeerPort  int
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryMegabytes is what the process may use.
	MemoryMegabytes int
	// MaxDescriptors is the number of files and sockets that the process may have open.
	MaxDescriptors int
	// RepeatRatio, RepeatExtra and RepeatSpan bound the repeats to a service, for all gateways together.
	RepeatRatio float64
	RepeatExtra float64
	RepeatSpan  time.Duration
	// StopTime is the time from the signal to the end of the process.
	StopTime time.Duration
	// LeaseTime is how long another gateway must not give orders after this one, ThawTime what passes before a gateway that
	// stood still is judged again.
	LeaseTime time.Duration
	ThawTime  time.Duration
}

// LoadAddress returns where the gateway takes the loads of others.
func (s *Settings) LoadAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.Address, uint16(s.FirstPeerPort))
}

// RelayAddress returns where the gateway tells others of the KV stores that it follows.
func (s *Settings) RelayAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.Address, uint16(s.LastPeerPort))
}

// ReadSettings reads a settings file in INI. Errors name the file, the section and the key, and say what is allowed.
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
	}
	return s, r.err
}

// reader reads values and keeps the first problem.
type reader struct {
	file *ini.File
	err  error
}

func (r *reader) problem(section, key, value, allowed string) {
	if r.err == nil {
		r.err = errors.Newf("[%s] %s = %q: must be %s", section, key, value, allowed)
	}
}

func (r *reader) text(section, key string) string {
	value := r.file.Section(section).Key(key).String()
	if value == "" {
		r.problem(section, key, value, "set")
	}
	return value
}

func (r *reader) addr(section, key string) netip.Addr {
	value := r.file.Section(section).Key(key).String()
	addr, err := netip.ParseAddr(value)
	if err != nil {
		r.problem(section, key, value, "an IP number")
	}
	return addr
}

func (r *reader) addrPort(section, key string) netip.AddrPort {
	value := r.file.Section(section).Key(key).String()
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		r.problem(section, key, value, "an IP number and a port, such as 127.0.0.1:8080")
	}
	return addr
}

func (r *reader) number(section, key string, lowest, highest float64) float64 {
	value := r.file.Section(section).Key(key).String()
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= lowest && n <= highest) {
		r.problem(section, key, value, "a number from "+strconv.FormatFloat(lowest, 'g', -1, 64)+" to "+
			strconv.FormatFloat(highest, 'g', -1, 64))
	}
	return n
}

func (r *reader) duration(section, key string) time.Duration {
	value := r.file.Section(section).Key(key).String()
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		r.problem(section, key, value, "a time above 0 with a unit, such as 500ms")
	}
	return d
}
