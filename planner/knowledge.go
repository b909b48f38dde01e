package planner

import "time"

// Learned returns what the planner has learned about the interference of fillers with services, for the
// next owner of the jobs.
func (p *Planner) Learned() ([]byte, error) { return p.estimator.Marshal() }

// Learn adopts what an earlier owner has learned. It returns an error if that cannot be decoded.
func (p *Planner) Learn(raw []byte, now time.Time) error { return p.estimator.Unmarshal(raw, now) }
