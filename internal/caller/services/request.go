package services

import (
	"crypto/sha256"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

const pathPrefix = "/v1/services/"

// call is a decoded request for a plain service.
type call struct {
	id, entry, key string
	method         string
	// path is unescaped; target is escaped and includes the query.
	path, target string
	body         []byte
	header       http.Header
	fingerprint  uint64
	request      *http.Request
}

// decode reads a request and checks its form.
func decode(r *http.Request) (*call, error) {
	key, err := reply.IdempotencyKey(r)
	if err != nil {
		return nil, err
	}
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), pathPrefix)
	name, path, _ := strings.Cut(rest, "/")
	if !ok || name == "" {
		return nil, reply.Rejected(http.StatusNotFound, "entry_not_found", "the path must be "+pathPrefix+"{entry}/{path}")
	}
	path = "/" + path
	decoded, err := decodePath(path)
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadBody(r)
	if err != nil {
		return nil, err
	}
	c := &call{id: r.Header.Get(reply.RequestIDHeader), entry: name, key: key, method: r.Method, path: decoded, target: path, body: body, header: r.Header.Clone(), request: r}
	if r.URL.RawQuery != "" {
		c.target += "?" + r.URL.RawQuery
	}
	c.header.Del("Authorization") // the token authenticates the client to this system only
	c.header.Del("Content-Length")
	c.fingerprint = c.digest()
	return c, nil
}

// decodePath unescapes a path. It rejects segments that a service may resolve to
// a path other than the one that is compared with the catalogue's list of
// repeatable calls.
func decodePath(path string) (string, error) {
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		d, err := url.PathUnescape(s)
		if err != nil || d == "." || d == ".." || strings.ContainsAny(d, "/\\\x00;") || d == "" && i < len(segments)-1 {
			return "", reply.Invalid("", "invalid_path", "the path must have no empty, dot or escaped-slash segments")
		}
		segments[i] = d
	}
	return "/" + strings.Join(segments, "/"), nil
}

func (c *call) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{c.method, c.target} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(c.body)
	return d.Sum64()
}

// journalKey returns the key of a call in the journal.
func journalKey(workspace, entry, key string) journal.Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + entry + "\x00" + key))
	return journal.Key(sum[:16])
}

// repeatableRule returns the catalogue's rule by which a call is repeatable, or
// the method if that is GET or HEAD. It returns an empty string if the call must
// not be repeated.
func repeatableRule(e *catalogue.Entry, method, path string) string {
	i := slices.IndexFunc(e.Repeatable, func(rule string) bool {
		m, p, ok := strings.Cut(rule, " ")
		if !ok || m != method {
			return false
		}
		rest, ok := strings.CutPrefix(path, strings.TrimSpace(p))
		return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(p, "/"))
	})
	if i >= 0 {
		return e.Repeatable[i]
	}
	if method == http.MethodGet || method == http.MethodHead {
		return method
	}
	return ""
}
