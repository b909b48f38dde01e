// Package charter interprets state charts (finite state machines), which are defined by
// the JSON files in the charts folder. A chart lists states and, for each state, the
// events that it accepts and the state that each event leads to. The packages that use a
// chart, such as reducer, router, admitter and linker, take every transition from it, so
// the files are the only definition of the transitions. Apart from reading the embedded
// files the package performs no I/O.
package charter

import (
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

//go:embed charts/*.json
var chartFiles embed.FS

// State is the name of a state of a chart.
type State string

// Event is the name of an event that a state accepts.
type Event string

// Chart is a state chart. It must not be changed after it was parsed.
type Chart struct {
	Name    string                    `json:"name"`
	Initial State                     `json:"initial"`
	States  map[State]map[Event]State `json:"states"`
}

// Load returns the embedded chart with the given name.
func Load(name string) (*Chart, error) {
	raw, err := chartFiles.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, errors.Wrapf(err, "read chart %q", name)
	}
	return Parse(raw)
}

// MustLoad is like Load but panics if the chart cannot be loaded, which is a programming
// error. It is meant for package variables.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts in ascending order.
func Names() []string {
	// The embedded folder always exists, so there is no error.
	entries, _ := chartFiles.ReadDir("charts")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	return names
}

// Parse parses and validates a chart. It returns an error if the JSON is malformed, if the
// initial state or a state that a transition leads to is not defined, or if a state cannot
// be reached from the initial one.
func Parse(raw []byte) (*Chart, error) {
	var c Chart
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, errors.Wrap(err, "parse chart")
	}
	reachable := map[State]bool{}
	if err := c.markReachable(c.Initial, reachable); err != nil {
		return nil, err
	}
	for s := range c.States {
		if !reachable[s] {
			return nil, errors.Errorf("chart %s: state %q cannot be reached from the initial state", c.Name, s)
		}
	}
	return &c, nil
}

// markReachable adds a state and every state that it leads to, directly or through
// others. It returns an error if one of them is not defined.
func (c *Chart) markReachable(s State, reachable map[State]bool) error {
	if reachable[s] {
		return nil
	}
	transitions, ok := c.States[s]
	if !ok {
		return errors.Errorf("chart %s: state %q is not defined", c.Name, s)
	}
	reachable[s] = true
	for _, next := range transitions {
		if err := c.markReachable(next, reachable); err != nil {
			return err
		}
	}
	return nil
}

// Next returns the state that the event leads to. It returns the unchanged state and false
// if the state does not accept the event.
func (c *Chart) Next(s State, e Event) (State, bool) {
	next, ok := c.States[s][e]
	if !ok {
		return s, false
	}
	return next, true
}

// Final reports whether a state accepts no event.
func (c *Chart) Final(s State) bool {
	return len(c.States[s]) == 0
}

// Mermaid renders the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var lines []string
	for from, transitions := range c.States {
		for event, to := range transitions {
			lines = append(lines, fmt.Sprintf("  %s --> %s: %s", from, to, event))
		}
	}
	slices.Sort(lines)
	return fmt.Sprintf("stateDiagram-v2\n  [*] --> %s\n%s\n", c.Initial, strings.Join(lines, "\n"))
}
