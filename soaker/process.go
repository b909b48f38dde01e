package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainrail/plantainrail/standin/runner"
)

// The ports of all processes. Each process has an IP address of its own. They are below the range from
// which systems take the ports of outgoing connections.
const (
	peerPort     = 20101
	frontendPort = 20102
	readyPort    = 20103
	registryPort = 20104
)

// graceTime is how long a process may take to end after SIGTERM.
const graceTime = 6 * time.Second

// process is an entry or an agent.
type process struct {
	fleet      *fleet
	name, role string
	zone       string
	// number counts the processes from 0.
	number int
	// storeAddress is where the process reaches the store.
	storeAddress string
	// worker and its links are those of an agent's VM.
	worker                *runner.Worker
	workerLink, heartbeat *Link

	// turn is held while a fault stops the process.
	turn sync.Mutex
	// command is the program, and changes while turn is held.
	command *exec.Cmd
	// The fields below are guarded by the fleet's lock.
	//
	// life is the number of the process's address.
	life int
	// exited is closed when the program has ended.
	exited chan struct{}
	// expected is set when the program is to end.
	expected bool
	// gone is set when the process is not to start again, and workerLost when its worker is not.
	gone, workerLost bool
}

// ip returns the address of the process.
func (p *process) ip() string { return p.fleet.address(0, p.life) }

// frontend returns the address for clients.
func (p *process) frontend() string {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return fmt.Sprint(p.ip(), ":", frontendPort)
}

// settings returns the platform's settings of the process.
func (p *process) settings() string {
	lines := []string{
		"nodeName=" + p.name, "role=" + p.role, "ip=" + p.ip(), "zone=" + p.zone, "region=r",
		fmt.Sprintf("internalPortRange=%d,%d", peerPort, peerPort), "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284",
		"heartbeatMs=1500", "orders=invocation", "platform.address=" + p.storeAddress, "platform.form=log",
		"platform.recordBytes=262144", "platform.callBytes=2097152", "bounds.evacuationMs=5000", "bounds.cancel_ms=3000", "bounds.status_s=120",
	}
	if p.role == "entry" {
		lines = append(lines, "machineClass=edge", "serves=edge", fmt.Sprintf("listen.frontend=%s:%d", p.ip(), frontendPort),
			fmt.Sprintf("listen.ready=%s:%d", p.ip(), readyPort))
	} else {
		lines = append(lines, "machineClass=side", "serves=side", fmt.Sprintf("listen.controlPlane=%s:%d", p.ip(), registryPort),
			"app="+p.workerLink.Address(), "service="+pool)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the program, unless the process is gone for good.
func (p *process) start() error {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.gone || f.ctx.Err() != nil {
		return nil
	}
	path := filepath.Join(f.Folder, p.name)
	if err := os.WriteFile(path+".conf", []byte(p.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(f.Program, "node", p.role)
	// A VM shows one core to its processes.
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "PLANTAINRAIL_NODE_FILE=" + path + ".conf"}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.expected = c, exited, false
	go func() {
		err := c.Wait()
		f.mu.Lock()
		if !p.expected {
			f.findings = append(f.findings, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		f.mu.Unlock()
		close(exited)
	}()
	return nil
}

// stop ends the program by a signal, and by SIGKILL if it does not end within graceTime.
func (p *process) stop(signal syscall.Signal) {
	p.fleet.mu.Lock()
	p.expected = true
	p.fleet.mu.Unlock()
	// The program may have ended by itself.
	_ = p.command.Process.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		_ = p.command.Process.Kill()
		<-p.exited
	}
}
