package intake

import (
	"math"
	"time"
)

const (
	// sentTime and wantedTime are the times within which the counts of requests sent and wanted decay to 1/e. Endpoints take their rates over a
	// few seconds; many processes want to send a request to an endpoint only every few seconds.
	sentTime   = time.Second
	wantedTime = 2 * time.Second
)

// count is a number of events that decays with a time constant. With a steady rate of events it is the rate times that constant.
type count struct {
	value float64
	at    time.Time
}

func (c *count) add(now time.Time, constant time.Duration) {
	c.value, c.at = c.current(now, constant)+1, now
}

func (c *count) current(now time.Time, constant time.Duration) float64 {
	age := now.Sub(c.at)
	if c.value == 0 || age <= 0 {
		return c.value
	}
	return c.value * math.Exp(-float64(age)/float64(constant))
}
