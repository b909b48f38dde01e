// Package charter interprets state charts that are kept as JSON files beside
// it. A chart lists states and, for each state, the events that it takes and
// the state that each event leads to. Code asks the chart for every step, so
// the files are the only place where the steps are written down.
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
var files embed.FS

// State is the name of a state of a chart.
type State string

// Event is the name of an event that a chart takes.
type Event string

// Chart is a state chart. It is immutable.
type Chart struct {
	Name    string                    `json:"name"`
	Initial State                     `json:"initial"`
	States  map[State]map[Event]State `json:"states"`
}

// Load returns the embedded chart with the given name.
func Load(name string) (*Chart, error) {
	raw, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, errors.Wrapf(err, "no chart %q", name)
	}
	return Parse(raw)
}

// MustLoad is Load for package variables; an embedded chart that is invalid is
// a fault of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names lists the embedded charts in ascending order.
func Names() []string {
	entries, _ := files.ReadDir("charts")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	return names
}

// Parse reads and checks a chart: every state that an event leads to exists and
// every state can be reached from the initial one.
func Parse(raw []byte) (*Chart, error) {
	var c Chart
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, errors.Wrap(err, "parse chart")
	}
	reached := map[State]bool{}
	if err := c.reach(c.Initial, reached); err != nil {
		return nil, err
	}
	for s := range c.States {
		if !reached[s] {
			return nil, errors.Errorf("chart %s: state %q cannot be reached", c.Name, s)
		}
	}
	return &c, nil
}

func (c *Chart) reach(s State, reached map[State]bool) error {
	if reached[s] {
		return nil
	}
	steps, ok := c.States[s]
	if !ok {
		return errors.Errorf("chart %s: no state %q", c.Name, s)
	}
	reached[s] = true
	for _, next := range steps {
		if err := c.reach(next, reached); err != nil {
			return err
		}
	}
	return nil
}

// Next returns the state that the event leads to. It returns false, and the
// state as it was, when the state does not take the event.
func (c *Chart) Next(s State, e Event) (State, bool) {
	next, ok := c.States[s][e]
	if !ok {
		return s, false
	}
	return next, true
}

// Final tells whether a state takes no event.
func (c *Chart) Final(s State) bool {
	return len(c.States[s]) == 0
}

// Mermaid renders the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var lines []string
	for from, steps := range c.States {
		for event, to := range steps {
			lines = append(lines, fmt.Sprintf("  %s --> %s: %s", from, to, event))
		}
	}
	slices.Sort(lines)
	return fmt.Sprintf("stateDiagram-v2\n  [*] --> %s\n%s\n", c.Initial, strings.Join(lines, "\n"))
}
