package proxy

import (
	"net/http"
	"net/url"
	"strings"
)

// keyExtractor reads callers' API keys and removes them from requests.
type keyExtractor struct {
	header string
	scheme string
	query  string
	cookie string
}

func newKeyExtractor(o Options) keyExtractor {
	return keyExtractor{header: http.CanonicalHeaderKey(o.KeyHeader), scheme: o.KeyScheme + " ", query: o.KeyQuery, cookie: o.KeyCookie}
}

// extract returns the request's key and removes it from all headers, query parameters
// and cookies.
func (k keyExtractor) extract(r *http.Request) (string, bool) {
	key := k.find(r)
	r.Header.Del(k.header)
	r.Header.Del("Proxy-Authorization")
	if k.query != "" {
		removeQueryParams(r.URL, func(name, _ string) bool { return name == k.query })
	}
	if k.cookie != "" {
		removeCookies(r, func(c *http.Cookie) bool { return c.Name == k.cookie })
	}
	if key == "" {
		return "", false
	}
	removeKey(r, key)
	return key, true
}

// find returns the key from the header, the query parameter or the cookie, in this
// order.
func (k keyExtractor) find(r *http.Request) string {
	if value := r.Header.Get(k.header); value != "" {
		if k.header != defaultKeyHeader {
			return value
		}
		if n := len(k.scheme); len(value) > n && strings.EqualFold(value[:n], k.scheme) {
			return strings.TrimSpace(value[n:])
		}
	}
	if k.query != "" {
		if value := r.URL.Query().Get(k.query); value != "" {
			return value
		}
	}
	if k.cookie != "" {
		if c, err := r.Cookie(k.cookie); err == nil {
			return c.Value
		}
	}
	return ""
}

// removeKey removes every header, cookie and query parameter that contains the key.
func removeKey(r *http.Request, key string) {
	for name, values := range r.Header {
		if name != "Cookie" && anyContains(values, key) {
			r.Header.Del(name)
		}
	}
	if anyContains(r.Header["Cookie"], key) {
		removeCookies(r, func(c *http.Cookie) bool { return strings.Contains(c.Value, key) })
	}
	if anyContains(r.Header["Cookie"], key) {
		r.Header.Del("Cookie")
	}
	if r.URL.RawQuery != "" {
		removeQueryParams(r.URL, func(name, value string) bool {
			return strings.Contains(name, key) || strings.Contains(value, key)
		})
	}
}

func anyContains(values []string, key string) bool {
	for _, v := range values {
		if strings.Contains(v, key) {
			return true
		}
	}
	return false
}

// removeQueryParams removes the parameters that match selects and leaves the encoding of
// the others unchanged. Parameters that cannot be decoded are removed as well.
func removeQueryParams(u *url.URL, match func(name, value string) bool) {
	var kept []string
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		rawName, rawValue, _ := strings.Cut(part, "=")
		name, nameErr := url.QueryUnescape(rawName)
		value, valueErr := url.QueryUnescape(rawValue)
		if nameErr != nil || valueErr != nil || match(name, value) {
			continue
		}
		kept = append(kept, part)
	}
	u.RawQuery = strings.Join(kept, "&")
}

// removeCookies removes the cookies that match selects.
func removeCookies(r *http.Request, match func(*http.Cookie) bool) {
	cookies := r.Cookies()
	r.Header.Del("Cookie")
	for _, c := range cookies {
		if !match(c) {
			r.AddCookie(c)
		}
	}
}
