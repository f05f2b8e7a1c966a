package snap

import (
	"reflect"
	"testing"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// FuzzDecode checks that a snapshot decoded from arbitrary bytes is unchanged after it
// is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	complete := Encode(consensus.Snapshot{Index: 9, Term: 3, Members: consensus.Members{Voters: []consensus.ReplicaID{"a"}}, Data: []byte("state")})
	f.Add(complete)
	f.Add(complete[:len(complete)-1])
	f.Add(append(complete[:len(complete):len(complete)], 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, ok := Decode(data)
		if !ok {
			return
		}
		if again, ok := Decode(Encode(s)); !ok || !reflect.DeepEqual(s, again) {
			t.Fatalf("%+v decoded as %+v after encoding", s, again)
		}
	})
}
