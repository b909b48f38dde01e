package bencher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
)

const (
	histogramMax     = int64(5 * time.Minute / time.Microsecond)
	histogramFigures = 3
	// callerPatience is how much longer than the deadline a caller waits.
	callerPatience = 10 * time.Second
	// weightOfMatch and weightOfStatus repeat the table's weights.
	weightOfMatch  = 5
	weightOfStatus = 1
)

// outcome is what one caller got.
type outcome struct {
	kind   string
	echo   string
	took   time.Duration
	whole  bool
	wrong  bool
	notRun bool
	cut    bool
}

// tally gathers outcomes.
type tally struct {
	mu       sync.Mutex
	sent     int
	outcomes []outcome
}

func newTally() *tally { return &tally{} }

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

// load sends requests at an even rate, whatever becomes of the ones before, so
// that a slow answer does not thin the load out.
func (t *trial) load(ctx context.Context) {
	client := t.cluster.Client("caller")
	start := time.Now()
	var group sync.WaitGroup
	total := int(float64(t.scenario.Rate) * t.scenario.Length.Seconds())
	for n := range total {
		due := start.Add(time.Duration(n) * time.Second / time.Duration(t.scenario.Rate))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		kind := "match"
		if t.random.IntN(2) == 0 {
			kind = "status"
		}
		t.tally.sent++
		group.Go(func() { t.tally.add(t.call(client, n, kind, due)) })
	}
	group.Wait()
}

func (t *trial) call(client *http.Client, n int, kind string, due time.Time) outcome {
	patience := time.Duration(t.scenario.DeadlineMS)*time.Millisecond + callerPatience
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	o := outcome{kind: kind, echo: fmt.Sprintf("e%d", n)}
	url := fmt.Sprintf("http://%s/%s?echo=%s", t.entry(n).Address, kind, o.echo)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("slot"))
	if err != nil {
		return o
	}
	response, err := client.Do(request)
	if err != nil {
		o.cut = true
		return o
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.took = time.Since(due)
	o.cut = err != nil
	matches := strings.Contains(string(body), " "+o.echo+" ")
	o.whole = err == nil && response.StatusCode == http.StatusOK && matches
	o.wrong = err == nil && response.StatusCode == http.StatusOK && !matches
	o.notRun = response.Header.Get("X-Outcome") == string(plantainrail.OutcomeNotRun)
	return o
}

// figures judges the outcomes against what the targets saw.
func (t *tally) figures(seen assembler.Tallies, s Scenario) (Figures, []string) {
	f := Figures{Sent: t.sent, Kinds: map[string]KindFigures{}}
	var violations []string
	all := newHistogram()
	kinds := map[string]*hdrhistogram.Histogram{"match": newHistogram(), "status": newHistogram()}
	for _, o := range t.outcomes {
		runs := seen.Echoes[o.echo]
		if o.kind == "match" && runs > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", o.echo, runs))
		}
		if o.notRun && runs > 0 {
			violations = append(violations, fmt.Sprintf("%s was called not run and ran", o.echo))
		}
		if o.wrong {
			violations = append(violations, fmt.Sprintf("%s got another answer", o.echo))
		}
		if o.cut && s.Planned {
			violations = append(violations, fmt.Sprintf("%s was cut off by a planned stop", o.echo))
		}
		f.count(o, s)
		if o.whole {
			_ = all.RecordValue(o.took.Microseconds())
			_ = kinds[o.kind].RecordValue(o.took.Microseconds())
		}
	}
	f.P50, f.P99, f.P999 = quantiles(all)
	for kind, h := range kinds {
		p50, p99, p999 := quantiles(h)
		f.Kinds[kind] = KindFigures{int(h.TotalCount()), p50, p99, p999}
	}
	sends := 0
	for _, n := range seen.Echoes {
		sends += n
	}
	f.SendsPerRequest = float64(sends) / float64(max(t.sent, 1))
	return f, violations
}

func (f *Figures) count(o outcome, s Scenario) {
	switch {
	case o.whole && o.took > time.Duration(s.DeadlineMS)*time.Millisecond:
		f.Late++
	case o.whole:
		f.Completed++
		f.Weighted += weightOf(o.kind)
	case o.cut:
		f.Cut++
	case o.notRun:
		f.NotRun++
	default:
		f.Uncertain++
	}
}

func weightOf(kind string) int {
	if kind == "match" {
		return weightOfMatch
	}
	return weightOfStatus
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramFigures)
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99, p999 float64) {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return ms(50), ms(99), ms(99.9)
}
