package watchrelay

import (
	"testing"
	"time"
)

// TestOlderListIsNotFresh guards against a gateway that passes on an older list, read through another gateway while the store failed, as complete up to the
// last answer of the store.
func TestOlderListIsNotFresh(t *testing.T) {
	j := newJournal()
	j.replace(nil, 5, time.Second)
	j.update(5, []Change{{Name: "a", Revision: 6, Value: []byte("1")}}, 6, 10*time.Second)
	j.update(4, nil, 6, 10*time.Second) // a gap: the state is unknown until the next list
	j.replace(nil, 5, 0)
	if a, _, ok := j.since(5, 9*time.Second); ok && !a.Gap && len(a.Names) == 0 {
		t.Errorf("complete up to %v without the change at revision 6", a.directAt)
	}
}
