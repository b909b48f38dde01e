package charter

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestStatesAcceptOnlyListedEvents checks that each state of each chart accepts the events
// that it lists and no other event of the chart, and that each chart has a final state.
func TestStatesAcceptOnlyListedEvents(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			c, err := Load(name)
			assert.NilError(t, err)
			assert.Equal(t, c.Name, name)
			events := map[Event]bool{}
			final := 0
			for s, transitions := range c.States {
				if c.Final(s) {
					final++
				}
				for e := range transitions {
					events[e] = true
				}
			}
			assert.Assert(t, final > 0)
			for s, transitions := range c.States {
				for e := range events {
					next, ok := c.Next(s, e)
					want, listed := transitions[e]
					assert.Equal(t, ok, listed)
					if !listed {
						want = s
					}
					assert.Equal(t, next, want)
				}
			}
		})
	}
}

func TestInvalidChartsAreRejected(t *testing.T) {
	for name, raw := range map[string]string{
		"invalid JSON":      "{",
		"missing state":     `{"initial": "a", "states": {"a": {"go": "b"}}}`,
		"unreachable state": `{"initial": "a", "states": {"a": {}, "b": {}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(raw))
			assert.Assert(t, err != nil)
		})
	}
}
