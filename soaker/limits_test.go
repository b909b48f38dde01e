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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/standin/keeper"
	"github.com/plantainrail/plantainrail/standin/recorder"
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
	// ownMemoryMB is what a process of the product's own interface may hold by default.
	ownMemoryMB = 256
	// filesReserved is the number of descriptors that are reserved for files; the others may be sockets.
	filesReserved = 200
	// largeBody is the length of the largest legal body in bytes.
	largeBody = 262_144
	// limitsPort is the first of the three ports of the process.
	limitsPort = 20111
)

// crowd is a number of misbehaving clients, how many descriptors the process has, and how long the clients keep sending.
type crowd struct {
	clients, descriptors int
	duration             time.Duration
}

// bodyCrowd is costly by the bytes that it sends, and itemCrowd by the number of lines, elements or connections.
var bodyCrowd, itemCrowd = crowd{crowdSize, limitedDescriptors, crowdDuration}, crowd{480, 620, 3 * time.Second}

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

// neverReading sends a text and reads nothing, and then sends single bytes for as long as it is let.
func neverReading(text string) misbehaviour {
	return func(c net.Conn, n int) {
		_ = c.(*net.TCPConn).SetReadBuffer(1 << 12)
		for _, err := fmt.Fprintf(c, text, n); err == nil; _, err = io.WriteString(c, "\r\n") {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// shortLines returns a text of lines up to a length in bytes. Each line has a name of its own.
func shortLines(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	var out strings.Builder
	for i := 0; out.Len()+5 <= length; i++ {
		out.Write([]byte{'x', letters[i/36%62], letters[i%36], ':', '\n'})
	}
	return out.String()
}

// headerBytes is what the lines of a legal header have, besides the first ones.
const headerBytes = 16_000

// crowdRow is a load of misbehaving clients.
type crowdRow struct {
	name string
	send misbehaviour
}

// commonRows returns loads for any listener: post is the start of a header, in which %016x stands for the number of the
// request, and body is the length of the largest legal body in bytes.
func commonRows(post string, body int) []crowdRow {
	send := func(text string) misbehaviour {
		return func(c net.Conn, n int) { _, _ = fmt.Fprintf(c, post+text, n) }
	}
	inPieces := func(text string) misbehaviour {
		return func(c net.Conn, n int) {
			rest := fmt.Sprintf(post+text, n)
			for err := error(nil); err == nil && rest != ""; time.Sleep(2 * time.Millisecond) {
				_, err = io.WriteString(c, rest[:min(largeBody/64, len(rest))])
				rest = rest[min(largeBody/64, len(rest)):]
			}
		}
	}
	short, length := strings.Repeat(" ", body-1), fmt.Sprintf("Content-Length: %d\r\n\r\n", body)
	head := shortLines(headerBytes)
	tokens := "Trailer: " + strings.TrimSuffix(strings.NewReplacer(":\n", ",").Replace(head), ",") + "\r\n"
	return []crowdRow{
		{"short lines", send(head)},
		{"short lines of one name", send(strings.Repeat("a:\n", headerBytes/3))},
		{"folded lines", send("a:\n" + strings.Repeat(" b\n", headerBytes/3))},
		{"short lines before a body", send(head + length + short)},
		{"tokens of a header line", send(tokens + "Transfer-Encoding: chunked\r\n\r\n1\r\n")},
		{"long path", func(c net.Conn, n int) {
			_, _ = fmt.Fprintf(c, "POST /q/%016x%s HTTP/1.1\r\nHost: desk.example\r\n", n, strings.Repeat("%2f", headerBytes/3))
		}},
		{"pipelined headers", send("Content-Length: 2\r\n\r\n{}" + strings.SplitAfter(post, "\n")[0] + head[:3600])},
		{"short lines without end", endless("GET / HTTP/1.1\r\n", head)},
		{"one line without end", endless("GET / HTTP/1.1\r\nX: ", strings.Repeat("x", 64<<10))},
		{"empty lines", emptyLines},
		{"whole bodies", send(length + short + " ")},
		{"bodies in pieces", inPieces(length + short)},
		{"chunks in pieces", inPieces("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("1000\r\n%4096s\r\n", ""), (body-1)/4096))},
		{"bodies short of their end", send(length + short)},
		{"chunk short of its end", send(fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", body, short))},
		{"chunks of one byte short of their end", send("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n \r\n", min(body-1, largeBody)))},
		{"chunk extensions", send("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\n \r\n", 100))},
		{"trailers", send("Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + head[:3600])},
		{"responses never read", neverReading(strings.Repeat("GET /%%2f HTTP/1.1\r\nHost: desk.example\r\n\r\n", 4000) + post)},
		{"connections without a request", func(net.Conn, int) { time.Sleep(crowdDuration) }},
	}
}

// jobRows are loads of whole requests that are costly only once they are decoded or answered.
func jobRows() []crowdRow {
	whole := func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", limitsHeader, len(body), strings.ReplaceAll(body, "%", "%%"))
	}
	send := func(body string) misbehaviour {
		return func(c net.Conn, n int) { _, _ = fmt.Fprintf(c, whole(body), n) }
	}
	spec := func(text string) string {
		return `{"spec":"` + strings.Repeat(text, (largeBody-60)/len(text)) + `","steps":[{"count":1,"cpu":1}]}`
	}
	return []crowdRow{
		{"steps that are no objects", send(`{"steps":[` + strings.Repeat("1,", largeBody/2-10) + "1]}")},
		{"empty steps", send(`{"steps":[` + strings.Repeat("null,", largeBody/5-5) + "null]}")},
		{"text that is no UTF-8", send(spec("\xff"))},
		{"text that grows when encoded", send(strings.Replace(spec("<"), "spec", "image", 1))},
		{"nested lists", send(strings.Repeat("[", largeBody))},
		{"errors never read", neverReading(whole(`{"steps":[{"count":` + strings.Repeat("1", largeBody-30) + "}]}"))},
	}
}

// Guards against clients that make a process exceed its memory or its descriptors, end or hang. Nothing
// here depends on the speed of the machine but the loads themselves, which repeat for a time.
func TestMisbehavingClients(t *testing.T) {
	chunked, length := "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody)
	short := strings.Repeat(" ", largeBody-1)
	playCrowds(t, startEntry, bodyCrowd, []crowdRow{
		{"bodies at once", unfinished(largeBody, length, short)},
		{"bodies in pieces", unfinished(4096, length, short)},
		{"one large chunk", unfinished(largeBody, chunked, fmt.Sprintf("%x\r\n%s", largeBody, short))},
		{"chunks of one byte", unfinished(6*largeBody, chunked, strings.Repeat("1\r\n \r\n", largeBody-1))},
		{"unterminated headers", endless("GET / HTTP/1.1\r\nX: ", strings.Repeat("x", 64<<10))},
		{"whole bodies with many steps", manySteps},
		{"empty lines", emptyLines},
	})
}

// Guards against costs that are paid by line, token, element or connection but counted by bytes sent.
func TestMisbehavingClientsOfEntry(t *testing.T) {
	playCrowds(t, startEntry, itemCrowd, append(commonRows(limitsHeader, largeBody), jobRows()...))
}

// Guards against the same on the listener for the worker's heartbeats.
func TestMisbehavingClientsOfAgent(t *testing.T) {
	const post = "POST /Instances.Heartbeat/%016x HTTP/1.1\r\nHost: a\r\n"
	whole := func(body string) misbehaviour {
		return func(c net.Conn, n int) {
			_, _ = fmt.Fprintf(c, post+"Content-Length: %d\r\n\r\n%s", n, len(body), body)
		}
	}
	const largest = 4 << 20
	playCrowds(t, startAgent, itemCrowd, append(commonRows(post, largest),
		crowdRow{"many labels", whole(`{"labels":["l"` + strings.Repeat(`,""`, (largest-30)/3) + `]}`)},
		crowdRow{"labels that are no UTF-8", whole(`{"labels":["` + strings.Repeat("\xff", largest-30) + `"]}`)}))
}

// Guards against the same on the listeners of an entry that clients are not meant to reach.
func TestMisbehavingClientsOfOperatorListeners(t *testing.T) {
	rows := commonRows("POST /metrics HTTP/1.1\r\nHost: a\r\nX-N: %016x\r\n", largeBody)
	for name, port := range map[string]int{"metrics": 9464, "readiness": limitsPort + 2} {
		t.Run(name, func(t *testing.T) {
			playCrowds(t, func(t *testing.T, s *subject) {
				startEntry(t, s)
				s.crowded = fmt.Sprintf("%s:%d", s.ip, port)
			}, itemCrowd, rows[:2])
		})
	}
}

// pipelined sends whole requests, each of which contains its number.
func pipelined(text string) misbehaviour {
	return func(c net.Conn, n int) {
		for i := range 20 {
			if _, err := fmt.Fprintf(c, text, 20*n+i); err != nil {
				return
			}
		}
	}
}

// Guards against the same on the product's own interface, and against what it keeps of each request.
func TestMisbehavingClientsOfOwnEntry(t *testing.T) {
	const post = "POST /match HTTP/1.1\r\nHost: desk.example\r\nX-N: %016x\r\n"
	playCrowds(t, startOwn("entry"), itemCrowd, append(commonRows(post, largeBody),
		crowdRow{"unknown paths", pipelined("GET /%016x" + strings.Repeat("x", headerBytes-100) + " HTTP/1.1\r\nHost: h\r\n\r\n")},
		crowdRow{"unknown kinds", pipelined("GET /%016x HTTP/1.1\r\nHost: h\r\nX-Kind: " + strings.Repeat("x", headerBytes-100) + "\r\n\r\n")}))
}

// Guards against the same on the listener for targets.
func TestMisbehavingClientsOfOwnAgent(t *testing.T) {
	const post = "POST /announce HTTP/1.1\r\nHost: a\r\nX-N: %016x\r\n"
	text := strings.Repeat("x", 60_000)
	whole := func(path, body string) misbehaviour {
		return pipelined(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body)+11, body))
	}
	playCrowds(t, startOwn("agent"), itemCrowd, append(commonRows(post, 64<<10),
		crowdRow{"many targets", whole("/announce", `{"name":"%016x","incarnation":"i","address":"a","kinds":["`+text+`"],"slots":1,"connections":1}`)},
		crowdRow{"leaves of unknown targets", whole("/leave", `{"name":"%016x`+text+`","incarnation":"i"}`)}))
}

// playCrowds starts a process for each load and one more for their mixture, and plays the load.
func playCrowds(t *testing.T, start func(*testing.T, *subject), size crowd, rows []crowdRow) {
	program := filepath.Join(t.TempDir(), "plantainrail")
	output, err := exec.Command("go", "build", "-o", program, "../cmd/plantainrail").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	mixture := crowdRow{"mixture", func(c net.Conn, n int) { rows[n%len(rows)].send(c, n) }}
	for _, row := range append(rows, mixture) {
		t.Run(row.name, func(t *testing.T) {
			s := &subject{program: program, ip: loopback(), memory: limitedMemoryMB << 20, descriptors: size.descriptors}
			s.crowded = fmt.Sprintf("%s:%d", s.ip, limitsPort+1)
			start(t, s)
			playCrowd(t, s, size, row.send)
		})
	}
}

// subject is a process under test.
type subject struct {
	// crowded is the address that the crowd connects to, and ip that of all listeners.
	program, crowded, ip string
	// memory is the most that the process may hold in bytes.
	memory      int64
	descriptors int
	pid         int
	ended       chan error
	log         *bytes.Buffer
	// ask sends an ordinary request and reports whether it was served.
	ask func(id int) bool
	// check checks what was answered to ordinary requests after the crowd has gone; it may be nil.
	check func(t *testing.T)
}

// run starts the program as the process under test, with its number of descriptors as the limit of the system.
func (s *subject) run(t *testing.T, environment []string, arguments ...string) {
	t.Helper()
	c := exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, s.descriptors), "sh", s.program}, arguments...)...)
	c.Env = append(environment, "GOMAXPROCS=1")
	s.log, s.ended = &bytes.Buffer{}, make(chan error, 1)
	c.Stdout, c.Stderr = s.log, s.log
	assert.NilError(t, c.Start())
	s.pid = c.Process.Pid
	go func() { s.ended <- c.Wait() }()
	t.Cleanup(func() { _ = c.Process.Kill() })
}

// loopback returns an address that another run of these tests on the same machine does not use.
func loopback() string { return fmt.Sprintf("127.99.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)) }

// runNode starts a process on the platform.
func (s *subject) runNode(t *testing.T, role, store, settings string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.conf")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, `nodeName=node
ip=%s
zone=z
internalPortRange=%d,%d
limits.cpuShare=0.192
limits.cores=1
limits.memoryMb=%d
limits.fileDescriptors=%d
platform.address=%s
%s
`, s.ip, limitsPort, limitsPort, limitedMemoryMB, s.descriptors, store, settings), 0o600))
	s.run(t, []string{"PLANTAINRAIL_NODE_FILE=" + path}, "node", role)
}

// startEntry starts an entry. Its ordinary requests submit jobs.
func startEntry(t *testing.T, s *subject) {
	store := keeper.New()
	store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk",
"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	s.runNode(t, "entry", server.Listener.Addr().String(), fmt.Sprintf("listen.frontend=%s\nlisten.ready=%s:%d", s.crowded, s.ip, limitsPort+2))
	statuses, frontend := map[string]int{}, s.crowded
	s.ask = func(id int) bool {
		name := fmt.Sprintf("%016x", id)
		statuses[name] = request("http://"+frontend+"/q/"+name, "desk.example", `{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}`)
		return statuses[name] == http.StatusOK
	}
	s.check = func(t *testing.T) {
		keys := store.Keys("keyed.jobs")
		for name, status := range statuses {
			stored := slices.ContainsFunc(keys, func(key string) bool { return strings.HasSuffix(key, name) })
			refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
			assert.Check(t, status != http.StatusOK || stored, "job %s was accepted and is not stored", name)
			assert.Check(t, !refused || !stored, "job %s was refused with %d and is stored", name, status)
		}
	}
}

// startAgent starts the agent of a worker that does not respond. Its ordinary requests are heartbeats.
func startAgent(t *testing.T, s *subject) {
	server := httptest.NewServer(keeper.New())
	t.Cleanup(server.Close)
	worker := s.ip + ":9"
	s.runNode(t, "agent", server.Listener.Addr().String(), fmt.Sprintf("listen.controlPlane=%s\napp=%s\nservice=desk", s.crowded, worker))
	s.ask = func(id int) bool {
		return request("http://"+s.crowded+"/Instances.Heartbeat/w", "", fmt.Sprintf(`{"service":"desk","address":"%s","zone":"z","state":"ready",
"capacity":{"cpu":1000,"memMb":100},"labels":["a"],"born":1,"sequence":%d}`, worker, id)) == http.StatusOK
	}
}

// startOwn returns a function that starts an entry and an agent of the product's own interface, with a target whose
// requests are the ordinary ones. The process with the role is the one under test.
func startOwn(role string) func(*testing.T, *subject) {
	return func(t *testing.T, s *subject) {
		s.memory = ownMemoryMB << 20
		other := *s
		other.crowded = fmt.Sprintf("%s:%d", s.ip, limitsPort+2)
		entry, agent := s, &other
		if role == "agent" {
			entry, agent = &other, s
		}
		logService := httptest.NewServer(recorder.New(0))
		t.Cleanup(logService.Close)
		entry.runOwn(t, []string{"entry", "serve"}, `{"role":"entry","name":"e","zone":"z","listen":"%s","log_service":"%s"}`, logService.URL)
		agent.runOwn(t, []string{"agent"}, `{"role":"agent","name":"a","zone":"z","listen":"%s","entries":["%s"]}`, entry.crowded)
		runs := announceTarget(t, agent.crowded)
		operator := caller.New(entry.crowded, "", nil)
		waitUntil(t, entry, "the table", func() bool {
			_, err := operator.Publish(t.Context(), receiver.PublishRequest{CSV: "kind,path,class,deadline_ms\nmatch,/match,latency-critical,3000\n", Editor: "t"})
			return err == nil
		})
		statuses := map[string]int{}
		s.ask = func(id int) bool {
			name := fmt.Sprint(id)
			statuses[name] = request("http://"+entry.crowded+"/match?"+name, "", "{}")
			return statuses[name] == http.StatusOK
		}
		s.check = func(t *testing.T) {
			for name, status := range statuses {
				_, ran := runs.Load(name)
				assert.Check(t, status != http.StatusOK || ran, "request %s was answered and did not run", name)
				assert.Check(t, status != http.StatusServiceUnavailable || !ran, "request %s was refused and ran", name)
			}
		}
	}
}

// runOwn starts a process of the product's own interface with settings that name its address and that of its peer.
func (s *subject) runOwn(t *testing.T, command []string, settings, peer string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, settings, s.crowded, peer), 0o600))
	s.run(t, nil, append(command, "--settings", path)...)
}

// announceTarget starts a target, which announces itself to the agent. It returns the queries of the requests that the
// target has run.
func announceTarget(t *testing.T, agent string) *sync.Map {
	runs := &sync.Map{}
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { runs.Store(req.URL.RawQuery, true) }))
	t.Cleanup(target.Close)
	announcement := fmt.Sprintf(`{"name":"t","incarnation":"i","address":"%s","kinds":["match"],"slots":8,"connections":64}`, target.Listener.Addr())
	go func() {
		for ; t.Context().Err() == nil; time.Sleep(500 * time.Millisecond) {
			request("http://"+agent+"/announce", "", announcement)
		}
	}()
	return runs
}

// playCrowd lets the crowd loose on a process, with an ordinary client beside it, and checks what the process holds at
// most and that ordinary requests are served, also before the crowd has gone.
func playCrowd(t *testing.T, s *subject, size crowd, send misbehaviour) {
	waitUntil(t, s, "the first ordinary request", func() bool { return s.ask(1 << 40) })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for n := range size.clients {
		clients.Go(func() { misbehave(ctx, s.crowded, n, size.clients, send) })
	}
	measured, stop := context.WithCancel(t.Context())
	var memory int64
	var sockets int
	clients.Go(func() { memory, sockets = s.measure(measured) })
	next, end := 1<<40+1, time.Now().Add(size.duration)
	for ; time.Now().Before(end); next++ {
		s.ask(next)
		time.Sleep(100 * time.Millisecond)
	}
	waitUntil(t, s, "an ordinary request beside the crowd", func() bool { next++; return s.ask(next) })
	stop()
	cancel()
	clients.Wait()
	t.Logf("peak memory %d MB, most sockets %d", memory>>20, sockets)
	waitUntil(t, s, "an ordinary request afterwards", func() bool { next++; return s.ask(next) })
	assert.Check(t, memory <= s.memory, "memory %d MB", memory>>20)
	assert.Check(t, sockets <= s.descriptors-filesReserved, "%d sockets", sockets)
	if s.check != nil {
		s.check(t)
	}
	assert.NilError(t, syscall.Kill(s.pid, syscall.SIGTERM))
	<-s.ended
}

// misbehave sends over one connection after the other until the context ends.
func misbehave(ctx context.Context, address string, n, step int, send misbehaviour) {
	for ; ctx.Err() == nil; n += step {
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

// request sends a POST and returns the status of the response, or 0 if there is none.
func request(url, host, body string) int {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitUntil tries something again and again for a time that no machine in order needs.
func waitUntil(t *testing.T, s *subject, what string, try func() bool) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); !try(); time.Sleep(50 * time.Millisecond) {
		select {
		case err := <-s.ended:
			t.Fatalf("the process has ended before %s was served: %v\n%s", what, err, s.log)
		default:
		}
		if time.Now().After(until) {
			t.Fatalf("%s was not served", what)
		}
	}
}

// measure returns the peak of a process's memory, unread and unsent bytes of its sockets included, and of the number
// of its sockets, until the context ends. It kills a process that holds four times what it may.
func (s *subject) measure(ctx context.Context) (memory int64, sockets int) {
	pid, ip := s.pid, s.ip
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
				unread += sent + received
			}
		}
		if memory = max(memory, resident*int64(os.Getpagesize())+unread); memory > 4*s.memory {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
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
