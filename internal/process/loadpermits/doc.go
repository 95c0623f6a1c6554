// Package loadpermits limits the number of concurrent weight loads in a site. The object LoadPermits/Site of the platform
// contains the taken slots, at most two by default. Agents take and release them by conditional update. A slot expires, so that an
// agent that crashed does not block the others. A load that continues after its slot has expired only slows down other loads, so
// nothing checks that it has stopped.
//
// Waiting agents read the object with increasing delays. They do not watch it, since each release would wake all of them for
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
