package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is what is wrong with the answers.
type Fault string

// Faults.
const (
	None Fault = ""
	// Reset runs requests and resets the connection without an answer.
	Reset Fault = "reset"
	// Cut breaks the answer off in its midst.
	Cut Fault = "cut"
	// Unsealed answers without the mark of the server.
	Unsealed Fault = "unsealed"
	// Foreign echoes the ID of another request.
	Foreign Fault = "foreign"
	// Extra sends a second answer after the first.
	Extra Fault = "extra"
	// Full rejects requests without running them.
	Full Fault = "full"
	// Fail answers with a failure of its own.
	Fail Fault = "fail"
	// Hang never answers.
	Hang Fault = "hang"
)

// Run is a request that the server ran.
type Run struct {
	Request, Method, Target, Host, Workspace, Key string
	Body                                          string
	Header                                        http.Header
	At                                            time.Time
}

// Worker is a server. Set the exported fields before it serves; its methods are
// safe for concurrent use.
type Worker struct {
	ID string
	// Events is the length of a stream, and Pace the time between two events.
	Events int
	Pace   time.Duration
	// Stream answers with events; otherwise the answer is whole.
	Stream bool

	mu    sync.Mutex
	fault Fault
	runs  []Run
}

// SetFault replaces the fault.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Runs returns the requests that the server ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Body returns the answer of a server that runs a request to its end.
func Body(request string) string { return "answer to " + request + "\n" }

// Event returns an event of a stream.
func Event(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, request, n)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("X-Wasabiworks-Expect-Instance"); expect != "" && expect != w.ID {
		rw.Header().Set("X-Wasabiworks-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Wasabiworks-Attempt-Id")
	w.mu.Lock()
	f := w.fault
	if f != Full {
		w.runs = append(w.runs, Run{
			Request: id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Workspace: r.Header.Get("X-Wasabiworks-Tenant"),
			Key: r.Header.Get("X-Wasabiworks-Key"), Body: string(body), Header: r.Header.Clone(), At: time.Now(),
		})
	}
	w.mu.Unlock()
	header := rw.Header()
	header.Set("X-Wasabiworks-Attempt-Id", id)
	header.Set("X-Wasabiworks-Server-Seal", "seal-of-"+w.ID)
	switch f {
	case Reset:
		reset(rw)
	case Hang:
		<-r.Context().Done()
	case Full:
		header.Set("X-Wasabiworks-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case Fail:
		rw.WriteHeader(http.StatusInternalServerError)
	case Foreign:
		header.Set("X-Wasabiworks-Attempt-Id", "another")
		fmt.Fprint(rw, Body("another"))
	case Unsealed:
		header.Del("X-Wasabiworks-Server-Seal")
		fmt.Fprint(rw, Body(id))
	case Extra:
		w.extra(rw, id)
	default:
		w.answer(rw, r, id, f == Cut)
	}
}

// answer writes the answer, or the first half of it.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, id string, cut bool) {
	if !w.Stream {
		body := Body(id)
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if cut {
			body = body[:len(body)/2]
		}
		fmt.Fprint(rw, body)
		if cut {
			panic(http.ErrAbortHandler)
		}
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= w.Events; n++ {
		event := Event(id, n)
		if cut && n == w.Events/2 {
			fmt.Fprint(rw, event[:len(event)/2])
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(rw, event)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		select {
		case <-time.After(w.Pace):
		case <-r.Context().Done():
			return
		}
	}
}

// extra sends the answer twice in one go.
func (w *Worker) extra(rw http.ResponseWriter, id string) {
	conn, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body, kind := Body(id), "text/plain"
	if w.Stream {
		body, kind = "", "text/event-stream"
		for n := 1; n <= w.Events; n++ {
			body += Event(id, n)
		}
	}
	for range 2 {
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: "+kind+"\r\nX-Wasabiworks-Attempt-Id: %s\r\nX-Wasabiworks-Server-Seal: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s", id, w.ID, len(body), body)
	}
	_ = buf.Flush()
	// The connection stays open, so that the second answer can meet the next
	// request on it.
	_, _ = bufio.NewReader(conn).ReadByte()
}

// reset closes the connection so that the peer gets an error.
func reset(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
