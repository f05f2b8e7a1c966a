package snap

import (
	"reflect"
	"testing"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// FuzzDecode checks that whatever is read as an intact file survives writing and reading.
func FuzzDecode(f *testing.F) {
	whole := Encode(consensus.Snapshot{Index: 9, Term: 3, Members: consensus.Members{Voters: []consensus.ReplicaID{"a"}}, Data: []byte("state")})
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(append(whole[:len(whole):len(whole)], 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, ok := Decode(data)
		if !ok {
			return
		}
		if again, ok := Decode(Encode(s)); !ok || !reflect.DeepEqual(s, again) {
			t.Fatalf("%+v became %+v", s, again)
		}
	})
}
