package pacer

const (
	// learningRate is the step of the fit, from 0 to 1.
	learningRate = 0.3
	// slownessMost bounds a slowness that is learned from: beyond it latencies
	// grow much faster than the load that causes them.
	slownessMost = 3
	// calmSlowness is what a service starts from before anything was learned.
	calmSlowness = 0.3
	// imagesMost bounds the images of each side that are kept.
	imagesMost = 256
)

// Model tells how much each image of fillers slows each image of services. It
// is linear in the processors that fillers use, and is fitted sample by sample
// with normalised least mean squares (Widrow and Hoff, "Adaptive Switching
// Circuits", 1960), so that it forgets what has changed.
type Model struct {
	// calm is a service's slowness without fillers, by image.
	calm map[string]float64
	// press is what a core of a filler's image adds, by the service's image.
	press map[string]map[string]float64
}

// NewModel returns a model that knows nothing.
func NewModel() *Model {
	return &Model{calm: map[string]float64{}, press: map[string]map[string]float64{}}
}

// Learn takes in a service's slowness, its tail latency as a share of its
// target, beside fillers that use the cores given by image.
func (m *Model) Learn(service string, slowness float64, cores map[string]float64) {
	calm, known := m.calm[service]
	if !known {
		if len(m.calm) >= imagesMost {
			clear(m.calm)
			clear(m.press)
		}
		calm = calmSlowness
		m.press[service] = map[string]float64{}
	}
	press := m.press[service]
	if len(press) > imagesMost {
		clear(press)
	}
	norm := 1.0
	for _, used := range cores {
		norm += used * used
	}
	miss := learningRate * (min(slowness, slownessMost) - m.slowness(calm, press, cores)) / norm
	m.calm[service] = max(0, calm+miss)
	for image, used := range cores {
		press[image] = max(0, press[image]+miss*used)
	}
}

func (m *Model) slowness(calm float64, press map[string]float64, cores map[string]float64) float64 {
	for image, used := range cores {
		calm += press[image] * used
	}
	return calm
}

// Press returns what a core of the filler's image adds to the slowness of the
// service's image.
func (m *Model) Press(service, filler string) float64 { return m.press[service][filler] }

// Expect returns a service's slowness beside fillers.
func (m *Model) Expect(service string, cores map[string]float64) float64 {
	calm, known := m.calm[service]
	if !known {
		calm = calmSlowness
	}
	return m.slowness(calm, m.press[service], cores)
}
