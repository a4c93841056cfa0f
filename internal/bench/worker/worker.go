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

// Fault is the way in which the responses of a server are faulty.
type Fault string

// Faults. With every fault but Full, the server runs the request.
const (
	FaultNone Fault = ""
	// FaultReset resets the connection without a response.
	FaultReset Fault = "reset"
	// FaultCutOff closes the connection in the middle of the response.
	FaultCutOff Fault = "cut"
	// FaultNoSeal omits the header X-Wasabiworks-Server-Seal.
	FaultNoSeal Fault = "unsealed"
	// FaultWrongAttempt returns the attempt ID and the body of another request.
	FaultWrongAttempt Fault = "foreign"
	// FaultDuplicateResponse sends the response twice.
	FaultDuplicateResponse Fault = "extra"
	// FaultFull rejects the request with status 503 and the header
	// X-Wasabiworks-Not-Executed, without running it.
	FaultFull Fault = "full"
	// FaultForeignRefusal runs the request and repeats the refusal of another one.
	FaultForeignRefusal Fault = "foreign refusal"
	// FaultServerError responds with status 500 and the server seal, which marks a failure
	// of the backend server itself rather than one on the way to it.
	FaultServerError Fault = "fail"
	// FaultHang never responds.
	FaultHang Fault = "hang"
	// FaultPause sends nothing for Pause in the middle of the response, which is
	// otherwise correct: the server is sound.
	FaultPause Fault = "pause"
)

// Pause is how long a server with FaultPause sends nothing.
const Pause = 1200 * time.Millisecond

// Run is a request that the server ran.
//
// Request is the attempt ID from the header X-Wasabiworks-Attempt-Id, Target the
// request URI, Workspace the header X-Wasabiworks-Tenant, and Key the header
// X-Wasabiworks-Key.
type Run struct {
	AttemptID, Method, Target, Host, Workspace, Key string
	Body                                            string
	Header                                          http.Header
	At                                              time.Time
}

// Server is a fake backend server. The exported fields must be set before it
// serves requests. Its methods are safe for concurrent use.
type Server struct {
	ID string
	// Events is the number of events in a stream, and EventInterval the time between
	// two events. They apply only if Stream is set.
	Events        int
	EventInterval time.Duration
	// Stream makes the server respond with a stream of server-sent events
	// instead of a single body.
	Stream bool

	mu      sync.Mutex
	fault   Fault
	leaving bool
	// retryAfter is the time for which each refusal asks for no requests; 0 asks
	// for nothing.
	retryAfter    time.Duration
	coldUntil     time.Time
	arrivals      []Arrival
	runs          []Run
	abandoned     []Abandonment
	misdirections int
}

// Abandonment is the end of the connection of a request while its server paused.
type Abandonment struct {
	AttemptID string
	At        time.Time
}

// Abandoned returns a copy of the list of requests that were abandoned during a
// pause.
func (w *Server) Abandoned() []Abandonment {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Abandonment(nil), w.abandoned...)
}

// Misdirections returns the number of requests that expected a server with another
// ID.
func (w *Server) Misdirections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.misdirections
}

// Arrival is a request that reached the server, whether it ran or not. RetryAt is
// the time before which the server asked for no requests, or zero.
type Arrival struct {
	AttemptID   string
	At, RetryAt time.Time
}

// SetLeaving makes the server say in all its responses whether it is leaving.
func (w *Server) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetColdUntil makes the server say in its responses until then that it is cold.
func (w *Server) SetColdUntil(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = at
}

// SetRetryAfter sets the time for which each refusal of FaultFull asks for no
// requests, with the header Retry-After; 0 leaves the header out.
func (w *Server) SetRetryAfter(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryAfter = d
}

// Arrivals returns a copy of the list of requests that reached the server, without
// those that were meant for another server.
func (w *Server) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// SetFault sets the fault for requests that arrive from now on.
func (w *Server) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Runs returns a copy of the list of requests that the server ran.
func (w *Server) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Body returns the complete response body for an attempt ID without streaming.
func Body(attemptID string) string { return "answer to " + attemptID + "\n" }

// Event returns event n of the stream for an attempt ID, starting at 1.
func Event(attemptID string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, attemptID, n)
}

// ServeHTTP implements http.Handler.
func (w *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("X-Wasabiworks-Expect-Instance"); expect != "" && expect != w.ID {
		w.mu.Lock()
		w.misdirections++
		w.mu.Unlock()
		rw.Header().Set("X-Wasabiworks-Instance-Id", w.ID)
		rw.Header().Set("X-Wasabiworks-Attempt-Id", r.Header.Get("X-Wasabiworks-Attempt-Id"))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Wasabiworks-Attempt-Id")
	w.mu.Lock()
	f, leaving := w.fault, w.leaving
	arrival := Arrival{AttemptID: id, At: time.Now()}
	retryAfter, coldLeft := w.retryAfter, time.Until(w.coldUntil)
	if f == FaultFull && retryAfter > 0 {
		arrival.RetryAt = arrival.At.Add(retryAfter)
	}
	w.arrivals = append(w.arrivals, arrival)
	if f != FaultFull {
		w.runs = append(w.runs, Run{
			AttemptID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Workspace: r.Header.Get("X-Wasabiworks-Tenant"),
			Key: r.Header.Get("X-Wasabiworks-Key"), Body: string(body), Header: r.Header.Clone(), At: time.Now(),
		})
	}
	w.mu.Unlock()
	header := rw.Header()
	header.Set("X-Wasabiworks-Attempt-Id", id)
	header.Set("X-Wasabiworks-Server-Seal", "seal-of-"+w.ID)
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if coldLeft > 0 {
		header.Set("X-Wasabiworks-Cold-Ms", strconv.FormatInt(coldLeft.Milliseconds(), 10))
	}
	switch f {
	case FaultReset:
		resetConnection(rw)
	case FaultHang:
		<-r.Context().Done()
	case FaultFull:
		header.Set("X-Wasabiworks-Not-Executed", "1")
		if retryAfter > 0 {
			header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
	case FaultForeignRefusal:
		header.Set("X-Wasabiworks-Attempt-Id", "another")
		header.Set("X-Wasabiworks-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case FaultServerError:
		rw.WriteHeader(http.StatusInternalServerError)
	case FaultWrongAttempt:
		header.Set("X-Wasabiworks-Attempt-Id", "another")
		fmt.Fprint(rw, Body("another"))
	case FaultNoSeal:
		header.Del("X-Wasabiworks-Server-Seal")
		fmt.Fprint(rw, Body(id))
	case FaultDuplicateResponse:
		w.writeTwice(rw, id)
	default:
		w.writeResponse(rw, r, id, f)
	}
}

// writeResponse writes the response. With FaultCutOff it writes about half of the
// response and closes the connection; with FaultPause it pauses in the middle.
func (w *Server) writeResponse(rw http.ResponseWriter, r *http.Request, id string, f Fault) {
	if w.Stream {
		w.writeStream(rw, r, id, f)
		return
	}
	body := Body(id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprint(rw, body[:len(body)/2])
	if f == FaultCutOff {
		panic(http.ErrAbortHandler)
	}
	if f == FaultPause && !w.pause(rw, r, id) {
		return
	}
	fmt.Fprint(rw, body[len(body)/2:])
}

func (w *Server) writeStream(rw http.ResponseWriter, r *http.Request, id string, f Fault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= w.Events; n++ {
		event := Event(id, n)
		if f == FaultCutOff && n == w.Events/2 {
			fmt.Fprint(rw, event[:len(event)/2])
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if f == FaultPause && n == w.Events/2 && !w.pause(rw, r, id) {
			return
		}
		fmt.Fprint(rw, event)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		select {
		case <-time.After(w.EventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// pause sends what has been written and then nothing for Pause. It returns false, and
// records it, if the connection of the request ends meanwhile.
func (w *Server) pause(rw http.ResponseWriter, r *http.Request, id string) bool {
	_ = http.NewResponseController(rw).Flush() // an error shows as the end of the connection
	select {
	case <-time.After(Pause):
		return true
	case <-r.Context().Done():
		w.mu.Lock()
		defer w.mu.Unlock()
		w.abandoned = append(w.abandoned, Abandonment{id, time.Now()})
		return false
	}
}

// writeTwice sends the response twice with a single flush.
func (w *Server) writeTwice(rw http.ResponseWriter, id string) {
	conn, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body, contentType := Body(id), "text/plain"
	if w.Stream {
		body, contentType = "", "text/event-stream"
		for n := 1; n <= w.Events; n++ {
			body += Event(id, n)
		}
	}
	for range 2 {
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\nX-Wasabiworks-Attempt-Id: %s\r\nX-Wasabiworks-Server-Seal: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s", id, w.ID, len(body), body)
	}
	_ = buf.Flush()
	// The connection stays open, so that a client that reuses it could take the
	// second response for the response to its next request.
	_, _ = bufio.NewReader(conn).ReadByte()
}

// resetConnection closes the connection with a TCP reset, so that the peer gets
// an error.
func resetConnection(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
