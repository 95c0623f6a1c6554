package forward

import "github.com/cespare/xxhash/v2"

// partKeys returns the keys of the shared parts of the prompt, in order. A key is a hash of the part's ID, so that the record of a part
// has a bounded size.
func (req *request) partKeys() (keys []uint64) {
	for _, p := range req.sharedParts() {
		keys = append(keys, xxhash.Sum64String(p.ID))
	}
	return keys
}
