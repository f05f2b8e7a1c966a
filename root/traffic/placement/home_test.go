package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

func engines(prefillCount, decodeCount int) []fleet.Server {
	var out []fleet.Server
	for i := range prefillCount {
		out = append(out, engine(fmt.Sprintf("prefill-%d", i), fleet.Prefill))
	}
	for i := range decodeCount {
		out = append(out, engine(fmt.Sprintf("decode-%d", i), fleet.Decode))
	}
	return out
}

func decoding(firstSegment uint64) placement.Request {
	req := prompt(firstSegment)
	req.Stage = placement.Decode
	return req
}

// TestPrefillCopiesFromTheDecodeHome checks that all entries decode prompts with
// the same first segment at the same engine, and that a prefill of such a prompt
// names that engine as the one to copy from.
func TestPrefillCopiesFromTheDecodeHome(t *testing.T) {
	c := qt.New(t)
	v := viewOf(3, engines(3, 5)...)
	used := map[string]bool{}
	for firstSegment := uint64(1); firstSegment <= 20; firstSegment++ {
		var decodeHomeAddress, copyFrom string
		for i := range 3 {
			s := stateOf(fmt.Sprintf("vm-%d", i), uint64(i), v)
			server := mustPlace(c, s, start, decoding(firstSegment)).Server()
			c.Assert(decodeHomeAddress == "" || decodeHomeAddress == server.Address, qt.IsTrue)
			decodeHomeAddress = server.Address
			copyFrom = mustPlace(c, s, start, prompt(firstSegment)).Decision().CopyFrom
			c.Assert(copyFrom, qt.Equals, decodeHomeAddress)
		}
		used[decodeHomeAddress] = true
	}
	c.Assert(len(used), qt.Equals, 5)
}

// TestPromptsLeaveAFullDecodeHome checks that prompts also go to another engine
// once there are more of them than the slots and the queue of their decode home hold.
func TestPromptsLeaveAFullDecodeHome(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, engines(1, 3)...))
	decodeHome := mustPlace(c, s, start, decoding(7)).Server().ID
	seen := map[string]bool{}
	for range 12 {
		seen[mustPlace(c, s, start, decoding(7)).Server().ID] = true
	}
	c.Assert(seen[decodeHome], qt.IsTrue)
	c.Assert(len(seen) > 1, qt.IsTrue)
}

func TestShortPromptsHaveNoDecodeHome(t *testing.T) {
	c := qt.New(t)
	s := stateOf("vm-0", 1, viewOf(1, engines(1, 3)...))
	req := prompt(7)
	req.PromptTokens = 400
	req.Segments = []placement.Segment{{Hash: 7, Tokens: 100}, {Hash: 8, Tokens: 300}}
	c.Assert(mustPlace(c, s, start, req).Decision().CopyFrom, qt.Equals, "")
}
