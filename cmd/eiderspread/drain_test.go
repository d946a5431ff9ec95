package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	drainTime     = 4 * time.Second // after which a drained ingress may hold no client, by the operators' page
	drainRecent   = 2 * time.Second // but for connections whose request is older than this
	drainSlack    = 250 * time.Millisecond
	drainWarmUp   = 300 * time.Millisecond
	drainClients  = 12
	drainPause    = 15 * time.Millisecond  // of a client between an answer and its next request
	noticedLately = 700 * time.Millisecond // a front that notices sends no new connection so long after the call
	lateInDrain   = 2 * time.Second        // a request that comes later would be too young at the end
)

// persistentConn is a connection that a client keeps open between its requests, as long as the ingress does.
type persistentConn struct {
	net.Conn
	reader         *bufio.Reader
	mutex          sync.Mutex
	requests       int
	lastSent       time.Time
	awaitingAnswer bool // an answer
	ended          bool
}

// request sends a request and reads its answer: whether it was served, and whether the connection is still open. A connection that ends between two
// answers has lost nothing.
func (k *persistentConn) request(id string, lost *atomic.Int64) (served, open bool) {
	k.mutex.Lock()
	k.requests++
	k.lastSent, k.awaitingAnswer = time.Now(), true
	first := k.requests == 1
	k.mutex.Unlock()
	fields := "c=look,t=basic,d=2000,units=1,spread=1,first=0"
	_, err := fmt.Fprintf(k, "*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d65521\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(fields), fields)
	line := ""
	if err == nil {
		line, err = k.reader.ReadString('\n')
	}
	if err == nil && line[0] == '$' {
		served = true
		_, err = k.reader.ReadString('\n')
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.awaitingAnswer = false
	if err != nil {
		k.ended = true
		if first || line != "" { // nothing was answered on it, or half of an answer
			lost.Add(1)
		}
	}
	return served, err == nil
}

// violation is how the connection breaks the rule at the end of a drain, or "".
func (k *persistentConn) violation(now time.Time) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case k.ended:
		return ""
	case !k.awaitingAnswer:
		return "idle"
	case now.Sub(k.lastSent) < drainRecent:
		return "with a recent request"
	}
	return ""
}

// persistentFront is clients behind a front that goes on dealing requests to an ingress, whatever that says to PING: each client keeps its
// connection while it can and opens another when it has ended.
type persistentFront struct {
	listen        string
	stop          chan struct{}
	ids           atomic.Int64
	lost          atomic.Int64 // requests whose connection ended with no answer on it
	openedLate    atomic.Int64 // connections opened later than noticedLately after the call
	servedLate    atomic.Int64 // requests that were sent later than lateInDrain after the call, and served
	drainCalledAt atomic.Int64 // when operators called, Unix nanoseconds

	mutex   sync.Mutex
	open    map[*persistentConn]bool
	clients sync.WaitGroup
}

func (f *persistentFront) client(t *testing.T) {
	for {
		conn, err := net.Dial("tcp", f.listen)
		if err != nil {
			t.Error(err)
			return
		}
		k := &persistentConn{Conn: conn, reader: bufio.NewReader(conn)}
		_ = conn.SetDeadline(time.Now().Add(testTimeout)) // an error shows in the next read
		if f.sinceDrainCall() > noticedLately {
			f.openedLate.Add(1)
		}
		f.mutex.Lock()
		f.open[k] = true
		f.mutex.Unlock()
		for {
			late := f.sinceDrainCall() > lateInDrain
			served, open := k.request(fmt.Sprintf("q-%d", f.ids.Add(1)), &f.lost)
			if late && served {
				f.servedLate.Add(1)
			}
			if !open {
				break
			}
			select {
			case <-f.stop:
				conn.Close()
				return
			case <-time.After(drainPause):
			}
		}
		conn.Close()
		f.mutex.Lock()
		delete(f.open, k)
		f.mutex.Unlock()
		select {
		case <-f.stop:
			return
		case <-time.After(drainPause):
		}
	}
}

// sinceDrainCall is how long ago operators called; 0 before they have.
func (f *persistentFront) sinceDrainCall() time.Duration {
	called := f.drainCalledAt.Load()
	if called == 0 {
		return 0
	}
	return time.Duration(time.Now().UnixNano() - called)
}

// violations tells which connections break the rule at one moment.
func (f *persistentFront) violations(now time.Time) map[*persistentConn]string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := map[*persistentConn]string{}
	for k := range f.open {
		if why := k.violation(now); why != "" {
			list[k] = why
		}
	}
	return list
}

// Guards the end of a drain by operators (incident 2026-12-02): 4 s after the call the process holds no client's connection that is idle or has a
// request from the last 2 s, also where clients go on coming on new connections, as they do behind a front that does not notice; and no request
// that comes in its second half is served. Each ingress is a process of its own. (That no connection which is opened late is used again was asked
// here first. It made an ingress end connections after each answer, and pipelined commands cross the end of one after the other: on the bench, rule
// lost. What is used again late is refused now, which this test asks for instead, beside what is held at the end.)
func TestDrain_ReleasesPersistentClients(t *testing.T) {
	for name, answerAfter := range map[string]time.Duration{"quick backend": 20 * time.Millisecond, "slow backend": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			drainUnderClients(t, answerAfter)
		})
	}
}

func drainUnderClients(t *testing.T, answerAfter time.Duration) {
	console := freeAddress(t)
	listen, _ := startProgram(t, programOptions{deadline: "2", console: console, answerAfter: answerAfter})
	front := &persistentFront{listen: listen, stop: make(chan struct{}), open: map[*persistentConn]bool{}}
	for range drainClients {
		front.clients.Go(func() { front.client(t) })
	}
	time.Sleep(drainWarmUp) // clients are at work when operators call
	resp, err := http.Post("http://"+console+"/v1/ingress/drain", "", strings.NewReader(""))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	called := time.Now()
	front.drainCalledAt.Store(called.UnixNano())
	time.Sleep(time.Until(called.Add(drainTime)))
	held := front.violations(time.Now())
	time.Sleep(drainSlack)
	still := front.violations(time.Now().Add(-drainSlack))
	for k, why := range held {
		if still[k] != "" {
			t.Errorf("%v after the call a connection with %d requests is held, %s", drainTime, k.requests, why)
		}
	}
	close(front.stop)
	front.clients.Wait()
	if n := front.openedLate.Load(); n < drainClients {
		t.Errorf("%d connections were opened later than %v after the call: no occasion", n, noticedLately)
	}
	if n := front.servedLate.Load(); n > 0 {
		t.Errorf("%d requests that were sent later than %v after the call were served", n, lateInDrain)
	}
	if n := front.lost.Load(); n > 0 {
		t.Errorf("%d requests were lost", n)
	}
}

const (
	pipelineAhead = 4 // commands that a pipelining client has open
	// A command sent so long before its client saw the end was at the ingress when that ended the connection: the client pauses behind each answer,
	// and may have several to read ahead of the end.
	pipelineFlight = (pipelineAhead + 4) * drainPause
)

// pipeliningClient keeps several commands open on each connection, and opens another when one has ended. It counts commands that lay at the ingress
// when that ended their connection, and got no answer.
func pipeliningClient(listen string, stop <-chan struct{}, ids, answered, lost *atomic.Int64) error {
	for {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			return err
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout)) // an error shows in the next read
		reader := bufio.NewReader(conn)
		var open []time.Time // when each was sent
		send := func() {
			id, fields := fmt.Sprintf("q-%d", ids.Add(1)), "c=look,t=basic,d=2000,units=1,spread=1,first=0"
			open = append(open, time.Now())
			fmt.Fprintf(conn, "*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d65521\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(fields), fields)
		}
		for range pipelineAhead {
			send()
		}
		for len(open) > 0 {
			line, err := reader.ReadString('\n')
			if err == nil && line[0] == '$' {
				_, err = reader.ReadString('\n')
			}
			if err != nil {
				for _, at := range open {
					if time.Since(at) > pipelineFlight {
						lost.Add(1)
					}
				}
				break
			}
			answered.Add(1)
			open = open[1:]
			select {
			case <-stop: // the rest is answered
			case <-time.After(drainPause):
				send()
			}
		}
		conn.Close()
		select {
		case <-stop:
			return nil
		default:
		}
	}
}

// Guards pipelined commands as an ingress is drained (found by the sweep after the incident of 2026-12-02): a connection ends when all that has come
// on it is answered, however many commands its client keeps open.
func TestDrain_AnswersPipelinedCommands(t *testing.T) {
	console := freeAddress(t)
	listen, _ := startProgram(t, programOptions{deadline: "2", console: console, answerAfter: 300 * time.Millisecond})
	stop := make(chan struct{})
	var ids, answered, lost atomic.Int64
	var all sync.WaitGroup
	for range drainClients {
		all.Go(func() {
			if err := pipeliningClient(listen, stop, &ids, &answered, &lost); err != nil {
				t.Error(err)
			}
		})
	}
	for end := time.Now().Add(testTimeout); answered.Load() < drainClients && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	before := answered.Load()
	resp, err := http.Post("http://"+console+"/v1/ingress/drain", "", strings.NewReader(""))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	time.Sleep(drainTime)
	close(stop)
	all.Wait()
	if before == 0 || answered.Load() < before+int64(drainClients) {
		t.Errorf("%d answers before the call, %d in all: no occasion", before, answered.Load())
	}
	if n := lost.Load(); n > 0 {
		t.Errorf("%d commands lay at the ingress when it ended their connection, and got no answer", n)
	}
}
