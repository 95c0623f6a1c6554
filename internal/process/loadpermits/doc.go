// Package loadpermits bounds the weight loads that run at once in a site. The object LoadPermits/Site of the platform
// holds two slots that agents take and give back by conditional update. A slot expires, so that an agent that died
// holds nothing up; an agent that overruns its slot only slows loading, so nothing checks that it stopped.
//
// Agents that wait read the object with growing pauses. They don't watch it: each release would wake all of them for
// one slot.
//
// # Usage
//
//	permits := &loadpermits.Permits{Platform: client, Holder: name}
//	permit, err := permits.Acquire(ctx)
//	if err != nil {
//		return err
//	}
//	defer permit.Release(ctx)
package loadpermits
