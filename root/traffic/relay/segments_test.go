package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
)

// promptRequest returns a request with a short prompt of two shared segments and one of
// its own.
func promptRequest(path string) *relay.Request {
	return &relay.Request{ID: "r", Host: "h", Path: path, Method: "POST", Arrived: time.Now(), Prompt: relay.Prompt{
		Model: "m", Tokens: 300, MaxOutputTokens: 2,
		Segments: []relay.PromptSegment{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 100}, {ID: "own", Tokens: 100}},
	}}
}

func (h *harness) publishSegments(list quarantine.List) {
	next := *h.views.Load()
	next.Segments = list
	h.views.Publish(&next)
}

func key(id string) quarantine.Segment { return quarantine.Key("llm", id) }

func TestQuarantinedSegmentReachesNoEngine(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		until := time.Now().Add(time.Minute)
		h.publishSegments(quarantine.List{Quarantined: []quarantine.Entry{{Segment: key("b"), Until: until.UnixMilli()}}})
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err.Kind, qt.Equals, fault.Quarantined)
		c.Assert(err.Ran, qt.Equals, fault.RanNo)
		c.Assert(err.RetryAfter, qt.Equals, time.Minute)
		c.Assert(h.sent, qt.HasLen, 0)

		// The last segment belongs to the request alone.
		h.publishSegments(quarantine.List{Quarantined: []quarantine.Entry{{Segment: key("own"), Until: until.UnixMilli()}}})
		h.script = []scriptedResponse{{status: 200, events: 2}}
		_, err = h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
	})
}

func TestEngineThatEndsIsReportedForEachSharedSegment(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, raw: "id: 1\n"}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		c.Assert(h.lost, qt.DeepEquals, map[quarantine.Segment][]string{
			key("a"): {h.sent[0].server}, key("b"): {h.sent[0].server},
		})
		c.Assert(h.completed, qt.DeepEquals, []quarantine.Segment{key("a"), key("b")})
	})
}

// TestLongAnswersSayNothingAboutSegments covers a stream that an engine breaks off half a
// second after its first event, as when it ends under another request.
func TestLongAnswersSayNothingAboutSegments(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 2, pause: 500 * time.Millisecond, cutByPeer: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		c.Assert(h.lost, qt.HasLen, 0)

		h.script = []scriptedResponse{{status: 200, events: 2, cutByPeer: true}, {status: 200, events: 2}}
		_, err = h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		c.Assert(h.lost, qt.HasLen, 2)
	})
}

// TestResetConnectionsSayNothingAboutSegments covers connections that a server closes
// before its response begins, as a full one does with those beyond its limit.
func TestResetConnectionsSayNothingAboutSegments(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{noResponse: true}, {status: 200, events: 2}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		c.Assert(h.lost, qt.HasLen, 0)
	})
}

// TestFailuresOfOtherKindsSayNothingAboutSegments covers responses that end for reasons
// other than the end of the engine.
func TestFailuresOfOtherKindsSayNothingAboutSegments(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{notSent: true}, {status: 503, notRun: true}, {status: 500}}
		_, err := h.serve(promptRequest("/stream/"))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(h.lost, qt.HasLen, 0)
		c.Assert(h.completed, qt.HasLen, 0)
	})
}

// TestLongOutputClearsSegmentsBeforeItEnds guards against sound segments that are held to
// crash engines because no answer is short enough to complete between two crashes.
func TestLongOutputClearsSegmentsBeforeItEnds(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 2, cut: true}}
		_, err := h.serve(promptRequest("/stream/"))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(h.completed, qt.HasLen, 0)

		h.script = []scriptedResponse{{status: 200, events: 2, pause: 1500 * time.Millisecond, cut: true}}
		_, err = h.serve(promptRequest("/stream/"))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(h.completed, qt.DeepEquals, []quarantine.Segment{key("a"), key("b")})
	})
}

// TestRequestWithASuspectCrashesOneEngineOnly guards against a deadly request that is
// sent from engine to engine: by an entry that doesn't hold requests with the suspect back,
// because a response with it completed there before.
func TestRequestWithASuspectCrashesOneEngineOnly(t *testing.T) {
	withHarness(t, func(c *qt.C, h *harness) {
		h.script = []scriptedResponse{{status: 200, events: 2}, {status: 200, raw: "id: 1\n"}}
		_, err := h.serve(promptRequest("/resumable/"))
		c.Assert(err == nil, qt.IsTrue)
		h.suspect("b")
		_, err = h.serve(promptRequest("/resumable/"))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Ran, qt.Equals, fault.RanYes)
		c.Assert(h.sent, qt.HasLen, 2)
	})
}
