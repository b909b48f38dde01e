package sizer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

type resources = plantainrail.Resources

func TestCorrectedSize(t *testing.T) {
	declared, largest := resources{Processors: 1000, Memory: 500}, resources{Processors: 3000, Memory: 4000}
	cases := []struct {
		name    string
		peak    resources
		samples int
		want    resources
	}{
		{"too few samples", resources{Processors: 100}, minSamples - 1, declared},
		{"uses less", resources{Processors: 500, Memory: 100}, minSamples, resources{Processors: 550, Memory: 500}},
		{"uses far less", resources{Processors: 10, Memory: 100}, minSamples, resources{Processors: 250, Memory: 500}},
		{"uses more", resources{Processors: 2000, Memory: 1000}, minSamples, resources{Processors: 2200, Memory: 1100}},
		{"uses more than a VM has", resources{Processors: 9000, Memory: 9000}, minSamples, resources{Processors: 3000, Memory: 4000}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := CorrectedSize([]PeakUsage{{"rebuild", c.peak, c.samples}}, "rebuild", declared, largest)
			assert.Equal(t, got, c.want)
			assert.Equal(t, CorrectedSize(nil, "rebuild", declared, largest), declared)
		})
	}
}

// TestPeaksExpire checks that a peak is still reported in the window after the one in
// which it was measured, and no longer in the window after that.
func TestPeaksExpire(t *testing.T) {
	s, start := New(), time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	observe := func(after time.Duration, attempt int64, processors int) {
		ref := plantainrail.AttemptRef{Task: "job/0", Attempt: attempt}
		s.Observe(start.Add(after), "rebuild", ref, resources{Processors: processors})
	}
	observe(0, 1, 900)
	observe(time.Minute, 1, 300)
	assert.DeepEqual(t, s.PeakUsages(), []PeakUsage{{"rebuild", resources{Processors: 900}, 1}})
	observe(peakWindow+time.Minute, 2, 300)
	assert.DeepEqual(t, s.PeakUsages(), []PeakUsage{{"rebuild", resources{Processors: 900}, 2}})
	observe(3*peakWindow, 3, 200)
	assert.DeepEqual(t, s.PeakUsages(), []PeakUsage{{"rebuild", resources{Processors: 300}, 2}})
}
