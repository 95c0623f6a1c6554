// Package staleness bounds for how long requests may begin on replaced weights.
//
// A weight version replaces the one before it when operators name it. Endpoints then load it one after the other, and those that have not
// done so continue to serve the old one. However long that takes, no request may begin on the old version once Rule.Limit has passed
// since the new one was named. Rule decides whether an endpoint may still get a request; Ages counts the time since versions were named.
//
// The limit of an endpoint counts from the first version above its own, however many follow. The age of a version is the time since the first gateway learned of it: gateways state to each other the ages that they know, and the highest
// counts. A gateway that started later assumes Ages.StartAge until it is told. Time in which the platform's store does not answer is not
// counted, since endpoints cannot be updated meanwhile.
//
// The package neither reads a clock nor communicates. Times are durations since the start of the machine.
//
// # Usage
//
//	rule := staleness.Rule{Limit: 10 * time.Second}
//	ages := &staleness.Ages{StartAge: rule.StartAge()}
//	ages.Named("Model1", 2, now, true)
//	if rule.MayBegin(ages.ReplacedFor("Model1", endpointVersion, now), expectedWait) { send }
package staleness
