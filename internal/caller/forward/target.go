package forward

import (
	"net/url"
	"strings"
)

// isForwardable reports whether a target can be sent unchanged.
func isForwardable(requestURI string) bool {
	if !strings.HasPrefix(requestURI, "//") {
		return true
	}
	_, ok := targetURL("", requestURI)
	return ok
}

// targetURL returns the URL whose request line has exactly the given target, and false if
// there is none. net/url takes an opaque part that begins with two slashes for a host and
// its path, and writes the scheme before it.
func targetURL(address, requestURI string) (*url.URL, bool) {
	u := &url.URL{Scheme: "http", Host: address}
	if !strings.HasPrefix(requestURI, "//") {
		u.Opaque = requestURI
		return u, true
	}
	path, query, hasQuery := strings.Cut(requestURI, "?")
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return nil, false
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = unescaped, path, query, hasQuery
	return u, u.RequestURI() == requestURI
}
