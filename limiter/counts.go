package limiter

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// count counts the clients that were limited for one cause.
type count struct {
	// total is since the start, and logged is that of the last line, which was written at loggedAt.
	total, logged int64
	loggedAt      time.Time
}

// counts counts by cause and writes the log lines.
type counts struct {
	logger *zap.Logger
	report func(name string, total int64)
	// mu guards byCause.
	mu      sync.Mutex
	byCause map[Cause]*count
}

// add counts a client.
func (c *counts) add(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCause[cause] == nil {
		c.byCause[cause] = &count{}
	}
	c.byCause[cause].total++
}

// flush writes the lines that are due.
func (c *counts) flush(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cause, n := range c.byCause {
		if n.total == n.logged || now.Sub(n.loggedAt) < logInterval {
			continue
		}
		level := zapcore.WarnLevel
		if cause == IdleTooLong {
			// Lawful clients keep connections until then.
			level = zapcore.InfoLevel
		}
		c.logger.Log(level, "clients limited", zap.String("limit", string(cause)), zap.Int64("count", n.total-n.logged), zap.Int64("total", n.total))
		n.logged, n.loggedAt = n.total, now
		if c.report != nil {
			c.report(fmt.Sprintf("plantainrail_clients_limited_total{limit=%q}", string(cause)), n.total)
		}
	}
}
