package wire

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzDecode guards against bytes of a faulty peer that crash the decoder, and against decoded messages that change when
// they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		Hello{Protocol: 1, Name: "Entry1"}, Submit{Stream: 1, Prompt: []uint32{1, 2}, Given: []uint32{3}},
		Refused{Reason: ReasonBusy, Detail: "full"}, Call{Body: []byte("{}")}, Mark{Endpoints: []string{"Endpoint1"}},
		Load{Load: LoadState{Running: 2}},
	} {
		body, err := msgpack.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(m.MessageType()), body)
	}
	f.Add(byte(TypeTokens), []byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		m, err := Decode(Type(kind), body)
		if err != nil {
			return
		}
		if m.MessageType() != Type(kind) {
			t.Fatalf("type %d decoded as %T", kind, m)
		}
		again, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(Type(kind), again)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(m, back) {
			t.Fatalf("the round trip changed %#v to %#v", m, back)
		}
	})
}
