package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// parity compares what the workers and clients see of odd but proper requests at an instance
// that is cut off from the workers, and at one that is not.
func parity(w *world) {
	w.configure(nil)
	w.addWorkers("app", 1, 6, time.Millisecond)
	w.addWorkers("ai", 1, 6, time.Millisecond)
	var mu sync.Mutex
	seen := make(map[string]string)
	for _, x := range w.workers {
		x.respond = func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Wasabiworks-Attempt-Id")
			h := r.Header.Clone()
			for _, name := range []string{"X-Wasabiworks-Attempt-Id", "X-Wasabiworks-Deadline-Ms"} {
				h.Del(name)
			}
			mu.Lock()
			seen[id] = fmt.Sprintf("%s %q host %s CL %d TE %v %q", r.Method, r.RequestURI, r.Host, r.ContentLength, r.TransferEncoding, sortedHeader(h))
			mu.Unlock()
			switch {
			case strings.Contains(r.URL.RawQuery, "r204"):
				rw.WriteHeader(204)
			case strings.Contains(r.URL.RawQuery, "r304"):
				rw.WriteHeader(304)
			case strings.Contains(r.URL.RawQuery, "r404"):
				rw.WriteHeader(404)
				io.WriteString(rw, "not here")
			case strings.Contains(r.URL.RawQuery, "big"):
				io.WriteString(rw, strings.Repeat("0123456789abcdef", 4<<16-1))
			case strings.Contains(r.URL.RawQuery, "cookies"):
				rw.Header().Add("Set-Cookie", "a=1")
				rw.Header().Add("Set-Cookie", "b=2")
				rw.Header().Set("X-Empty", "")
				rw.Header().Set("X-Long", strings.Repeat("y", 40000))
				io.WriteString(rw, "c")
			case strings.Contains(r.URL.RawQuery, "early"):
				rw.WriteHeader(103)
				io.WriteString(rw, "after hints")
			case strings.Contains(r.URL.RawQuery, "events"):
				rw.Header().Set("Content-Type", "text/event-stream")
				for n := 1; n <= 300; n++ {
					fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, strings.Repeat("z", 3000))
				}
			case strings.Contains(r.URL.RawQuery, "unframed"):
				conn, _, _ := rw.(http.Hijacker).Hijack()
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Wasabiworks-Attempt-Id: "+id+"\r\nX-Wasabiworks-Server-Seal: s\r\nConnection: close\r\n\r\nno length")
				conn.Close()
			default:
				io.WriteString(rw, "plain")
			}
		}
	}
	proxies := w.addCuttable([]string{"a", "b"})
	for _, p := range proxies {
		p.cut()
	}
	for n := range 10 { // lets it notice
		exchangeRaw(w.instances[0].client, fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: %s\r\nX-Wasabiworks-Attempt-Id: n%d\r\nX-Wasabiworks-Key: %s\r\n\r\n", host, n, key))
	}
	big := strings.Repeat("a\nb ", 1<<20-1)
	cases := []struct{ line, header, body string }{
		{"POST /once/?p", "Content-Length: 0\r\n", ""},
		{"POST /once/?p", fmt.Sprintf("Content-Length: %d\r\n", len(big)), big},
		{"POST /once/?p", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"},
		{"HEAD /safe/?big", "", ""},
		{"GET /safe/a%2Fb;c=%E1?x=%zz&&y=[1]|\"'", "", ""},
		{"GET /safe//a/../b?", "", ""},
		{"GET /safe/\u00e1", "", ""},
		{"DELETE /safe/?p", "Content-Length: 3\r\n", "abc"},
		{"PATCH /once/?p", "Content-Length: 3\r\n", "abc"},
		{"GET /safe/?r204", "", ""}, {"GET /safe/?r304", "", ""}, {"GET /safe/?r404", "", ""}, {"GET /safe/?big", "", ""},
		{"GET /safe/?cookies", "", ""}, {"GET /safe/?early", "", ""}, {"POST /stream/?events", "Content-Length: 1\r\n", "x"}, {"GET /safe/?unframed", "", ""},
		{"GET /safe/?p", "X-Empty:\r\nx-lower: 1\r\nX-Two: 1\r\nX-Two: 2\r\nTe: trailers\r\nConnection: X-Two\r\n", ""},
		{"POST /once/?p", "Expect: 100-continue\r\nContent-Length: 3\r\n", "abc"},
		{"GET /safe/?p", "X-Name: Dvo\xf8\xe1k\r\n", ""},
	}
	for n, c := range cases {
		var got [2]string
		for k, i := range w.instances {
			id := fmt.Sprintf("p%d-%d", n, k)
			got[k] = exchangeRaw(i.client, fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nX-Wasabiworks-Attempt-Id: %s\r\nX-Wasabiworks-Key: %s\r\n%s\r\n%s", c.line, host, id, key, c.header, c.body))
			mu.Lock()
			got[k] = strings.ReplaceAll(got[k], id, "ID") + "\n   worker: " + strings.ReplaceAll(seen[id], id, "ID")
			mu.Unlock()
		}
		if got[0] == got[1] {
			w.note("same: %.60q: %.300s", c.line+" "+c.header, got[0])
		} else {
			w.note("DIFFERENT: %.60q\n cut:  %s\n else: %s", c.line+" "+c.header, got[0], got[1])
		}
	}
}

func sortedHeader(h http.Header) string {
	var all []string
	for k, vs := range h {
		all = append(all, fmt.Sprintf("%s=%.60q", k, vs))
	}
	sort.Strings(all)
	return strings.Join(all, " ")
}

// exchangeRaw sends a request as it is and describes the answer.
func exchangeRaw(address, request string) string {
	conn, err := net.Dial("tcp", address)
	check(err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(6 * time.Second))
	go io.WriteString(conn, request)
	method, _, _ := strings.Cut(request, " ")
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return "no answer: " + err.Error()[:min(20, len(err.Error()))]
	}
	body, err := io.ReadAll(r.Body)
	r.Header.Del("Date")
	return fmt.Sprintf("%d CL %d TE %v %s body %d bytes %x err %v", r.StatusCode, r.ContentLength, r.TransferEncoding, sortedHeader(r.Header), len(body), sha256.Sum256(body), err)
}
