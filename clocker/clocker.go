// Package clocker provides a clock for leases and a sleep that ends with its context.
// The clock is not affected by changes of the system time and continues while the
// system is suspended.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewBootClock returns a clock that starts at the wall time of this call and advances with
// CLOCK_BOOTTIME, the time since the system was booted. Its times are not comparable
// with those of another such clock, since the system time may have been changed between
// the two calls. It returns an error if CLOCK_BOOTTIME cannot be read.
func NewBootClock() (func() time.Time, error) {
	initial, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	base := time.Now().Round(0)
	return func() time.Time {
		now, err := sinceBoot()
		if err != nil {
			// The call cannot fail after it has succeeded once, since its argument is
			// constant.
			panic(err)
		}
		return base.Add(now - initial)
	}, nil
}

// sinceBoot returns the time since the system was booted, including the time for which
// it was suspended.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
