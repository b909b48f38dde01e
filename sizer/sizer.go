// Package sizer learns what tasks of each kind truly use. It is pure. A peak is
// forgotten after one to two windows in which nothing reached it again.
package sizer

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// window is how long a peak counts at least.
	window = 10 * time.Minute
	// enough is the number of attempts that must have been measured before a
	// declared size is corrected; more are not counted.
	enough = 8
	// marginPercent is added to what was measured.
	marginPercent = 10
	// shrinkMost and growMost bound a correction of processors, as a divisor and
	// a factor of the declared size.
	shrinkMost = 4
	growMost   = 4
)

// Size is what the tasks of a kind were measured to use at most.
type Size struct {
	Kind string                 `cbor:"0,keyasint"`
	Peak plantainrail.Resources `cbor:"1,keyasint"`
	// Samples counts the attempts that were measured, up to the number that is
	// enough.
	Samples int `cbor:"2,keyasint"`
}

type peak struct {
	most     plantainrail.Resources
	attempts map[plantainrail.AttemptRef]bool
}

// Sizer keeps the peaks of one VM's tasks.
type Sizer struct {
	current, previous map[string]*peak
	turn              time.Time
}

// New returns a Sizer that has measured nothing.
func New() *Sizer {
	return &Sizer{current: map[string]*peak{}, previous: map[string]*peak{}}
}

// Observe takes a measurement of an attempt.
func (s *Sizer) Observe(now time.Time, kind string, ref plantainrail.AttemptRef, used plantainrail.Resources) {
	if used == (plantainrail.Resources{}) || kind == "" {
		return
	}
	if now.Sub(s.turn) > window {
		s.previous, s.current = s.current, map[string]*peak{}
		s.turn = now
	}
	p := s.current[kind]
	if p == nil {
		p = &peak{attempts: map[plantainrail.AttemptRef]bool{}}
		s.current[kind] = p
	}
	p.most = larger(p.most, used)
	if len(p.attempts) < enough {
		p.attempts[ref] = true
	}
}

// Sizes lists what is known, by kind.
func (s *Sizer) Sizes() []Size {
	var sizes []Size
	for _, peaks := range []map[string]*peak{s.previous, s.current} {
		for kind, p := range peaks {
			sizes = append(sizes, Size{kind, p.most, len(p.attempts)})
		}
	}
	return Merge(sizes)
}

// Merge joins the sizes of several VMs into one for each kind.
func Merge(sizes []Size) []Size {
	byKind := map[string]Size{}
	for _, s := range sizes {
		old := byKind[s.Kind]
		byKind[s.Kind] = Size{s.Kind, larger(old.Peak, s.Peak), min(enough, old.Samples+s.Samples)}
	}
	var merged []Size
	for _, s := range byKind {
		merged = append(merged, s)
	}
	slices.SortFunc(merged, func(a, b Size) int { return cmp.Compare(a.Kind, b.Kind) })
	return merged
}

func larger(a, b plantainrail.Resources) plantainrail.Resources {
	return plantainrail.Resources{
		Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Correct returns what a task of the kind reserves: what it declares until
// enough attempts were measured, and what they used with a margin after that.
// Memory and accelerators are never corrected downwards, since a task that lacks
// them fails instead of running slower. A correction never makes a task too large
// for the largest VM that its declared size fits on.
func Correct(sizes []Size, kind string, declared, largest plantainrail.Resources) plantainrail.Resources {
	i := slices.IndexFunc(sizes, func(s Size) bool { return s.Kind == kind })
	if i < 0 || sizes[i].Samples < enough || !declared.Fits(largest) {
		return declared
	}
	used := sizes[i].Peak
	processors := used.Processors * (100 + marginPercent) / 100
	processors = min(max(processors, declared.Processors/shrinkMost), declared.Processors*growMost, largest.Processors)
	memory := min(max(declared.Memory, used.Memory*(100+marginPercent)/100), largest.Memory)
	return plantainrail.Resources{Processors: processors, Memory: memory, Accelerators: declared.Accelerators}
}
