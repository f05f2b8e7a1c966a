package root

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// The listeners of an entry and of a replica must together leave descriptors for connections
// to backend servers and to other VMs, and each must have some.
func TestConnectionBoundsFitTheDescriptors(t *testing.T) {
	c := qt.New(t)
	for _, p := range []settings.Platform{{Frontend: "f"}, {ControlPlane: "c"}, {Frontend: "f", ControlPlane: "c"}} {
		for _, files := range []int64{300, 800, 4_100, 20_000} {
			bounds := connectionBounds(&settings.Settings{Platform: &p}, files, 100_000)
			mains := int64(0)
			for _, address := range []string{p.Frontend, p.ControlPlane} {
				if address != "" {
					mains++
				}
			}
			// Readiness, metrics and operator are small.
			sum := mains*bounds[mainListener] + bounds[directoryListener] + 3*bounds[smallListener] + bounds[peersListener]
			c.Check(float64(sum) <= 0.76*float64(files), qt.IsTrue, qt.Commentf("%d of %d: %v", sum, files, bounds))
			for kind, bound := range bounds {
				c.Check(bound >= minConnections, qt.IsTrue, qt.Commentf("kind %d, %d files", kind, files))
			}
		}
	}
	c.Check(connectionBounds(&settings.Settings{}, 20_000, 2_000)[mainListener], qt.Equals, int64(2_000))
	chosen := &settings.Settings{Limits: settings.Limits{Connections: 77}}
	c.Check(connectionBounds(chosen, 20_000, 2_000)[mainListener], qt.Equals, int64(77))
}
