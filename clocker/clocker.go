// Package clocker tells the instant on a clock that never jumps and goes on
// while the machine is suspended, as leases need it.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a function that tells the instant by the time since the machine
// was started. Instants are comparable within one process only.
func Boot() (func() time.Time, error) {
	first, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	base := time.Now().Round(0)
	return func() time.Time {
		now, err := sinceBoot()
		if err != nil {
			// The call cannot fail once it has worked; its argument is constant.
			panic(err)
		}
		return base.Add(now - first)
	}, nil
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
