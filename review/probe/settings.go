package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// playSettings changes a bound in the settings file of an entry to a fraction, and then stops the
// entry as planned work does. The platform starts it again, and it must be ready again.
func playSettings(f *fleet, trouble bool) (broken bool, err error) {
	const (
		restartDelay = time.Second
		limit        = 20 * time.Second
	)
	if err := f.startEntries(2); err != nil {
		return false, err
	}
	p := f.entries[0]
	path := filepath.Join(f.folder, p.name) + ".conf"
	settings, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	bound := []byte("bounds.evacuationMs=5000")
	if trouble {
		settings = bytes.Replace(settings, append(bound, '\n'), []byte("bounds.evacuationMs=5000.5\n"), 1)
		if err := os.WriteFile(path, settings, 0o600); err != nil {
			return false, err
		}
		f.note("the settings of %s now have bounds.evacuationMs=5000.5", p.name)
	}
	if err := p.command.Process.Signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	f.note("%s gets SIGHUP, and then SIGTERM", p.name)
	time.Sleep(contactTime)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	<-p.exited
	starts, ready := 0, false
	for until := time.Now().Add(limit); time.Now().Before(until) && !ready; time.Sleep(restartDelay) {
		select {
		case <-p.exited:
			if starts > 0 {
				f.note("%s has ended by itself: %v", p.name, p.command.ProcessState)
			}
			starts++
			f.note("platform starts %s", p.name)
			if err := f.restart(p); err != nil {
				return false, err
			}
		default:
		}
		status, _, err := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", p.ip, readyPort), "", clientTimeout)
		f.note("readiness of %s: %d, %v", p.name, status, err)
		ready = err == nil && status == http.StatusOK
	}
	log, err := os.ReadFile(filepath.Join(f.folder, p.name) + ".log")
	if err != nil {
		return false, err
	}
	if lines := bytes.Split(bytes.TrimSpace(log), []byte("\n")); len(lines) > 0 {
		f.note("last line of its log: %s", lines[len(lines)-1])
	}
	return !ready, nil
}
