package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
)

// TestRetryBudgetRoundsItsShareDown takes retries from shares of a fleet-wide number
// that is not a multiple of the number of entries, is huge, or is below that number.
func TestRetryBudgetRoundsItsShareDown(t *testing.T) {
	const attempts = 100
	for _, test := range []struct {
		extra   float64
		entries int
		want    int
	}{
		{32.73684210526316, 20, 1},
		{32.73684210526316, 1, 32},
		{32.73684210526316, 0, 32},
		{0.9, 1, 0},
		{622, 700, 0},
		{1e300, 20, attempts},
	} {
		b := relay.RetryBudget{Extra: test.extra, Window: 10 * time.Second, Entries: func() int { return test.entries }}
		taken := 0
		for range attempts {
			if b.Take("service", time.Unix(1, 0)) {
				taken++
			}
		}
		qt.Check(t, taken, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
