package placement

import "time"

// An engine that is given more prompts than fit into its memory takes them all, and later drops some of them to make room for the
// tokens that the others generate. The dropped ones are read again, so that the engine does less the more it is given. Prompts are
// therefore counted against the memory of an engine from the moment they are sent until their answers end, by all gateways together.

const (
	// longMemoryShare and memoryShare are the shares of an engine's memory up to which long and other prompts are sent to it. Long ones
	// leave room for short ones, which would otherwise wait behind them, and for the tokens that are generated. Short ones may fill
	// the memory, since prompts share their first parts and take up less than is counted.
	longMemoryShare = 0.9
	memoryShare     = 1.0
	// longPromptTokens is the length from which a prompt counts as long.
	longPromptTokens = 4096
	// minMemoryWait is the shortest time after which a prompt that found no room is told to come back: long answers end after about a
	// second.
	minMemoryWait = 500 * time.Millisecond
)

// missingRoom returns how many tokens must come free at an endpoint until it has room for the prompt of a request beside those in flight, 0
// or less if it has room. An engine without any prompts has room for each. The caller must hold mu.
func (t *Table) missingRoom(now time.Time, r *Request, id string, s *endpointState) float64 {
	if r.Memory <= 0 || r.Tokens <= 0 {
		return 0
	}
	peers, _ := t.peerTotals(now, id)
	held := s.held + peers.Held
	share := memoryShare
	if r.Tokens >= longPromptTokens {
		share = longMemoryShare
	}
	if held == 0 {
		return 0
	}
	return float64(held+r.Tokens) - share*float64(r.Memory)
}
