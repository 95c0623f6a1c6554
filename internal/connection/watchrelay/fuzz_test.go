package watchrelay

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzAnswer guards against an answer of another gateway that stops this one, or whose lists are mixed up.
func FuzzAnswer(f *testing.F) {
	a := answer{Revision: 7, AgeMs: 3}
	a.add(Change{Name: "a", Revision: 5, Value: []byte(`{"x":1}`)})
	a.add(Change{Name: "b", Revision: 6, Removed: true})
	b, err := msgpack.Marshal(&a)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("\x81\xa5Names\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var a answer
		if msgpack.Unmarshal(b, &a) != nil {
			return
		}
		changes, err := a.changes()
		if err != nil {
			return
		}
		j := newJournal()
		j.replace(changes, a.Revision, 1)
		j.update(a.Revision, changes, a.Revision+1, 1)
		if listed, ok := j.list(0); ok && len(listed.Names) > len(changes) {
			t.Fatalf("%d objects of %d", len(listed.Names), len(changes))
		}
	})
}
