// Package sizer keeps the peak resource usage of tasks by kind and corrects the sizes that
// their jobs declare. Agents record the measurements of their VM and report the peaks;
// entries merge them and size new attempts. It performs no I/O and reads no clock. A peak
// expires after one to two windows in which no measurement reached it again.
package sizer

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// peakWindow is the minimum length of a window. The first measurement after this time
	// begins the next window.
	peakWindow = 10 * time.Minute
	// minSamples is the number of attempts that must have been measured before a declared
	// size is corrected. Attempts beyond it are not counted.
	minSamples = 8
	// marginPercent is the margin added to the measured peak.
	marginPercent = 10
	// maxShrinkDivisor and maxGrowthFactor bound the correction of processors: the result
	// is at least declared/maxShrinkDivisor and at most declared*maxGrowthFactor.
	maxShrinkDivisor = 4
	maxGrowthFactor  = 4
)

// PeakUsage is the measured peak usage of the tasks of a kind.
type PeakUsage struct {
	Kind string                 `cbor:"0,keyasint"`
	Peak plantainrail.Resources `cbor:"1,keyasint"`
	// Samples counts the measured attempts, up to minSamples.
	Samples int `cbor:"2,keyasint"`
}

// peak is the peak usage of a kind in one window. It holds up to minSamples of the
// measured attempts, so that each is counted once.
type peak struct {
	usage    plantainrail.Resources
	attempts map[plantainrail.AttemptRef]bool
}

// Sizer keeps the peak usage of one VM's tasks. It is not safe for concurrent use.
type Sizer struct {
	// current and previous hold the peaks by kind of the current and the previous window.
	current, previous map[string]*peak
	windowStart       time.Time
}

// New returns a Sizer without measurements.
func New() *Sizer {
	return &Sizer{current: map[string]*peak{}, previous: map[string]*peak{}}
}

// Observe records a measurement of an attempt's usage. Measurements without usage or
// without a kind are ignored.
func (s *Sizer) Observe(now time.Time, kind string, ref plantainrail.AttemptRef, used plantainrail.Resources) {
	if used == (plantainrail.Resources{}) || kind == "" {
		return
	}
	if now.Sub(s.windowStart) > peakWindow {
		s.previous, s.current = s.current, map[string]*peak{}
		s.windowStart = now
	}
	p := s.current[kind]
	if p == nil {
		p = &peak{attempts: map[plantainrail.AttemptRef]bool{}}
		s.current[kind] = p
	}
	p.usage = maxResources(p.usage, used)
	if len(p.attempts) < minSamples {
		p.attempts[ref] = true
	}
}

// PeakUsages returns the peaks of the current and the previous window, merged and
// sorted by kind.
func (s *Sizer) PeakUsages() []PeakUsage {
	var usages []PeakUsage
	for _, peaks := range []map[string]*peak{s.previous, s.current} {
		for kind, p := range peaks {
			usages = append(usages, PeakUsage{kind, p.usage, len(p.attempts)})
		}
	}
	return Merge(usages)
}

// Merge combines peak usages, such as those of several VMs, into one for each kind,
// sorted by kind. An attempt that was measured in two windows counts twice.
func Merge(usages []PeakUsage) []PeakUsage {
	byKind := map[string]PeakUsage{}
	for _, s := range usages {
		old := byKind[s.Kind]
		byKind[s.Kind] = PeakUsage{s.Kind, maxResources(old.Peak, s.Peak), min(minSamples, old.Samples+s.Samples)}
	}
	var merged []PeakUsage
	for _, s := range byKind {
		merged = append(merged, s)
	}
	slices.SortFunc(merged, func(a, b PeakUsage) int { return cmp.Compare(a.Kind, b.Kind) })
	return merged
}

// maxResources returns the maximum of each resource.
func maxResources(a, b plantainrail.Resources) plantainrail.Resources {
	return plantainrail.Resources{
		Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// CorrectedSize returns the resources to reserve for a task of the kind: the declared
// ones until minSamples attempts were measured, and the measured peak plus a margin
// after that. The processors stay between the declared ones divided by maxShrinkDivisor
// and the declared ones times maxGrowthFactor. Memory is never reduced and accelerators
// are not corrected, since a task that lacks them fails instead of running slower.
// Largest is the capacity of the largest VM, which bounds the corrected processors and
// memory. A declared size that does not fit on that VM is returned unchanged.
func CorrectedSize(usages []PeakUsage, kind string, declared, largest plantainrail.Resources) plantainrail.Resources {
	i := slices.IndexFunc(usages, func(s PeakUsage) bool { return s.Kind == kind })
	if i < 0 || usages[i].Samples < minSamples || !declared.Fits(largest) {
		return declared
	}
	measured := usages[i].Peak
	processors := measured.Processors * (100 + marginPercent) / 100
	processors = min(max(processors, declared.Processors/maxShrinkDivisor), declared.Processors*maxGrowthFactor, largest.Processors)
	memory := min(max(declared.Memory, measured.Memory*(100+marginPercent)/100), largest.Memory)
	return plantainrail.Resources{Processors: processors, Memory: memory, Accelerators: declared.Accelerators}
}
