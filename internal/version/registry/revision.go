package registry

// EraSize is the size of the range of revisions of one era of the store.
//
// A store that is restored from a copy gives out revisions again that it gave out before, so that a number alone stands for two states. The
// store therefore states an era, which rises with each restore, and a revision here is the store's own number plus EraSize times the era.
// Revisions of a later era are above all earlier ones, and a revision is never used for two states.
const EraSize = 1_000_000_000_000

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision / EraSize }
