package soaker_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/keeper"
)

const (
	// limitedMemoryMB and limitedDescriptors are the settings of the process. 200 descriptors are
	// reserved for files, so 220 may be sockets.
	limitedMemoryMB    = 80
	limitedDescriptors = 420
	// crowdSize is the number of misbehaving clients: more than the process may hold sockets for.
	crowdSize = 240
	// crowdDuration is how long they keep sending. A client whose connection is closed opens another.
	crowdDuration = 6 * time.Second
	// largeBody is the length of the largest legal body in bytes.
	largeBody = 262_144
	// limitsPort is the first of the three ports of the process.
	limitsPort = 20111
)

const limitsHeader = "POST /q/%016x HTTP/1.1\r\nHost: desk.example\r\n"

// A misbehaving client sends to its connection until the connection or its time ends.
type misbehaviour func(c net.Conn, n int)

// unfinished sends a body that lacks its last byte, in pieces of the size.
func unfinished(piece int, header, body string) misbehaviour {
	return func(c net.Conn, n int) {
		_, _ = fmt.Fprintf(c, limitsHeader+header, n)
		for body := body; len(body) > 0; body = body[min(piece, len(body)):] {
			if _, err := io.WriteString(c, body[:min(piece, len(body))]); err != nil {
				return
			}
			if piece < len(body) {
				time.Sleep(2 * time.Millisecond)
			}
		}
	}
}

// endless sends a text again and again.
func endless(start, text string) misbehaviour {
	return func(c net.Conn, _ int) {
		for _, err := io.WriteString(c, start); err == nil; _, err = io.WriteString(c, text) {
			time.Sleep(time.Millisecond)
		}
	}
}

// manySteps sends whole bodies with 5,000 steps.
func manySteps(c net.Conn, n int) {
	body := `{"spec":"","steps":[` + strings.Repeat(`{"count":1,"cpu":1,"memMb":1,"estimateMs":1},`, 4_999) + `{"count":1,"cpu":1,"memMb":1,"estimateMs":1}]}`
	_, _ = fmt.Fprintf(c, limitsHeader+"Content-Length: %d\r\n\r\n%s", n, len(body), body)
}

// emptyLines sends empty lines before a request: without a pause on one of eight connections, and with long
// pauses after a whole request on the others.
func emptyLines(c net.Conn, n int) {
	if n%8 == 0 {
		endless("", strings.Repeat("\r\n", 2048))(c, n)
		return
	}
	_, _ = fmt.Fprintf(c, limitsHeader+"Content-Length: 2\r\n\r\n{}", n)
	for _, err := io.WriteString(c, "\r\n"); err == nil; _, err = io.WriteString(c, "\r\n") {
		time.Sleep(crowdDuration / 2)
	}
}

// Guards against clients that make a process exceed its memory or its descriptors, end or hang. Nothing
// here depends on the speed of the machine but the loads themselves, which repeat for crowdDuration.
func TestMisbehavingClients(t *testing.T) {
	chunked, length := "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody)
	short := strings.Repeat(" ", largeBody-1)
	rows := []struct {
		name string
		send misbehaviour
	}{
		{"bodies at once", unfinished(largeBody, length, short)},
		{"bodies in pieces", unfinished(4096, length, short)},
		{"one large chunk", unfinished(largeBody, chunked, fmt.Sprintf("%x\r\n%s", largeBody, short))},
		{"chunks of one byte", unfinished(6*largeBody, chunked, strings.Repeat("1\r\n \r\n", largeBody-1))},
		{"unterminated headers", endless("GET / HTTP/1.1\r\nX: ", strings.Repeat("x", 64<<10))},
		{"whole bodies with many steps", manySteps},
		{"empty lines", emptyLines},
	}
	program := filepath.Join(t.TempDir(), "plantainrail")
	output, err := exec.Command("go", "build", "-o", program, "../cmd/plantainrail").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { playCrowd(t, program, func(c net.Conn, n int) { row.send(c, n) }) })
	}
	t.Run("mixture", func(t *testing.T) {
		playCrowd(t, program, func(c net.Conn, n int) { rows[n%len(rows)].send(c, n) })
	})
}

// playCrowd starts an entry, lets the crowd loose on it and checks what it needs at most.
func playCrowd(t *testing.T, program string, send misbehaviour) {
	// Another run of this test on the same machine has another address.
	ip := fmt.Sprintf("127.99.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	store := keeper.New()
	store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk",
"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`))
	server := httptest.NewServer(store)
	defer server.Close()
	frontend := fmt.Sprintf("%s:%d", ip, limitsPort+1)
	path := filepath.Join(t.TempDir(), "entry.conf")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, `nodeName=entry
ip=%s
zone=z
internalPortRange=%d,%d
limits.cpuShare=0.192
limits.cores=1
limits.memoryMb=%d
limits.fileDescriptors=%d
platform.address=%s
listen.frontend=%s
listen.ready=%s:%d
`, ip, limitsPort, limitsPort, limitedMemoryMB, limitedDescriptors, server.Listener.Addr(), frontend, ip, limitsPort+2), 0o600))
	c := exec.Command(program, "node", "entry")
	c.Env = []string{"GOMAXPROCS=1", "PLANTAINRAIL_NODE_FILE=" + path}
	var log bytes.Buffer
	c.Stdout, c.Stderr = &log, &log
	assert.NilError(t, c.Start())
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	defer func() { _ = c.Process.Kill() }()
	ask := func(id int) bool { return askOrdinary(frontend, id) }
	waitUntil(t, "the first ordinary request", func() bool { return ask(1 << 40) })

	ctx, cancel := context.WithTimeout(t.Context(), crowdDuration)
	defer cancel()
	var crowd sync.WaitGroup
	for n := range crowdSize {
		crowd.Go(func() { misbehave(ctx, frontend, n, send) })
	}
	memory, sockets := measure(ctx, c.Process.Pid, ip)
	crowd.Wait()
	t.Logf("peak memory %d MB, most sockets %d", memory>>20, sockets)
	select {
	case err := <-ended:
		t.Fatalf("the process has ended: %v\n%s", err, log.String())
	default:
	}
	waitUntil(t, "an ordinary request afterwards", func() bool { return ask(1<<40 + 1) })
	assert.Check(t, memory <= limitedMemoryMB<<20, "memory %d MB", memory>>20)
	assert.Check(t, sockets <= limitedDescriptors-200, "%d sockets", sockets)
	assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
	<-ended
}

// misbehave sends over one connection after the other until the context ends.
func misbehave(ctx context.Context, address string, n int, send misbehaviour) {
	for ; ctx.Err() == nil; n += crowdSize {
		c, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		send(c, n)
		_, _ = io.Copy(io.Discard, c)
		stop()
		_ = c.Close()
	}
}

// askOrdinary submits a job and reports whether it was accepted.
func askOrdinary(address string, id int) bool {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := `{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}`
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", address, id), strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = "desk.example"
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitUntil tries something again and again for a time that no machine in order needs.
func waitUntil(t *testing.T, what string, try func() bool) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); !try(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s was not served", what)
		}
	}
}

// measure returns the peak of a process's memory, unread bytes of its sockets included, and of the number
// of its sockets, until the context ends.
func measure(ctx context.Context, pid int, ip string) (memory int64, sockets int) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		var resident, unread int64
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		_, _ = fmt.Sscan(string(raw), new(int64), &resident)
		octets := net.ParseIP(ip).To4()
		local := fmt.Sprintf("%02X%02X%02X%02X:", octets[3], octets[2], octets[1], octets[0])
		raw, _ = os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
		for line := range strings.Lines(string(raw)) {
			// The state 0A is a listening socket, whose queue counts connections.
			if f := strings.Fields(line); strings.HasPrefix(f[1], local) && f[3] != "0A" {
				var sent, received int64
				_, _ = fmt.Sscanf(f[4], "%x:%x", &sent, &received)
				unread += received
			}
		}
		memory = max(memory, resident*int64(os.Getpagesize())+unread)
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		open := 0
		for _, link := range links {
			if target, _ := os.Readlink(link); strings.HasPrefix(target, "socket:") {
				open++
			}
		}
		sockets = max(sockets, open)
	}
	return memory, sockets
}
