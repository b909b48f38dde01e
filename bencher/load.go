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
	// maxLatencyMicros is the longest time that the histograms can record. It exceeds
	// the time for which a caller waits and the duration of every scenario, so
	// recording cannot fail.
	maxLatencyMicros = int64(5 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
	// callerSlack is how long a caller waits for the response after the deadline, so
	// that late responses are seen as late and not as cut off.
	callerSlack = 10 * time.Second
	// matchWeight and statusWeight must equal the weights in the published table.
	matchWeight  = 5
	statusWeight = 1
)

// outcome is the result of one request as its caller saw it.
type outcome struct {
	kind string
	// echo identifies the request in its response and in the tallies of the targets.
	echo string
	// latency is the time from when the request was due until its response was
	// complete.
	latency time.Duration
	// ok is set if the caller got the complete, successful response to this request.
	ok bool
	// wrongResponse is set if the caller got a successful response without the echo of
	// this request.
	wrongResponse bool
	// notRun is set if the entry reported that the request did not run.
	notRun bool
	// cut is set if the connection broke or timed out.
	cut bool
}

// callerTally collects the outcomes of a scenario's requests.
type callerTally struct {
	// mu guards outcomes.
	mu sync.Mutex
	// sent counts the requests that were sent. Only sendLoad changes it.
	sent     int
	outcomes []outcome
}

func newCallerTally() *callerTally { return &callerTally{} }

func (t *callerTally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

// sendLoad sends requests at a constant rate without waiting for earlier ones (open
// loop), so that slow responses do not reduce the load. It returns when all requests
// have ended. If the context ends first, it sends no more.
func (t *scenarioRun) sendLoad(ctx context.Context) {
	client := t.cluster.Client("caller")
	start := time.Now()
	var group sync.WaitGroup
	total := int(float64(t.scenario.Rate) * t.scenario.Duration.Seconds())
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

// call sends request n, which was due at the given time, and returns its outcome. The
// latency counts from that time and thus includes any delay of the sender.
func (t *scenarioRun) call(client *http.Client, n int, kind string, due time.Time) outcome {
	timeout := time.Duration(t.scenario.DeadlineMS)*time.Millisecond + callerSlack
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	o := outcome{kind: kind, echo: fmt.Sprintf("e%d", n)}
	url := fmt.Sprintf("http://%s/%s?echo=%s", t.entryFor(n).Address, kind, o.echo)
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
	o.latency = time.Since(due)
	o.cut = err != nil
	matches := strings.Contains(string(body), " "+o.echo+" ")
	o.ok = err == nil && response.StatusCode == http.StatusOK && matches
	o.wrongResponse = err == nil && response.StatusCode == http.StatusOK && !matches
	o.notRun = response.Header.Get("X-Outcome") == string(plantainrail.OutcomeNotRun)
	return o
}

// figures returns the results and the violations, from the outcomes and from what
// the targets recorded. It is called after the load has ended.
func (t *callerTally) figures(tallies assembler.Tallies, s Scenario) (Figures, []string) {
	f := Figures{Sent: t.sent, Kinds: map[string]KindFigures{}}
	var violations []string
	all := newHistogram()
	kinds := map[string]*hdrhistogram.Histogram{"match": newHistogram(), "status": newHistogram()}
	for _, o := range t.outcomes {
		runs := tallies.Echoes[o.echo]
		if o.kind == "match" && runs > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", o.echo, runs))
		}
		if o.notRun && runs > 0 {
			violations = append(violations, fmt.Sprintf("%s was reported as not run but ran", o.echo))
		}
		if o.wrongResponse {
			violations = append(violations, fmt.Sprintf("%s got the answer to another request", o.echo))
		}
		if o.cut && s.Planned {
			violations = append(violations, fmt.Sprintf("%s was cut off by a planned stop", o.echo))
		}
		f.count(o, s)
		if o.ok {
			_ = all.RecordValue(o.latency.Microseconds())
			_ = kinds[o.kind].RecordValue(o.latency.Microseconds())
		}
	}
	f.P50, f.P99, f.P999 = quantiles(all)
	for kind, h := range kinds {
		p50, p99, p999 := quantiles(h)
		f.Kinds[kind] = KindFigures{int(h.TotalCount()), p50, p99, p999}
	}
	sends := 0
	for _, n := range tallies.Echoes {
		sends += n
	}
	f.SendsPerRequest = float64(sends) / float64(max(t.sent, 1))
	return f, violations
}

// count counts an outcome in the one field that applies.
func (f *Figures) count(o outcome, s Scenario) {
	switch {
	case o.ok && o.latency > time.Duration(s.DeadlineMS)*time.Millisecond:
		f.Late++
	case o.ok:
		f.Completed++
		f.Weighted += kindWeight(o.kind)
	case o.cut:
		f.Cut++
	case o.notRun:
		f.NotRun++
	default:
		f.Uncertain++
	}
}

func kindWeight(kind string) int {
	if kind == "match" {
		return matchWeight
	}
	return statusWeight
}

// newHistogram returns an empty histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

// quantiles returns the median and the 99th and 99.9th percentiles of a histogram of
// microseconds, in milliseconds.
func quantiles(h *hdrhistogram.Histogram) (p50, p99, p999 float64) {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return ms(50), ms(99), ms(99.9)
}
