package proxy

import (
	"net/http"
	"net/url"
	"strings"
)

// keyReader finds callers' keys and removes them from requests.
type keyReader struct {
	header string
	scheme string
	query  string
	cookie string
}

func newKeyReader(o Options) keyReader {
	return keyReader{header: http.CanonicalHeaderKey(o.KeyHeader), scheme: o.KeyScheme + " ", query: o.KeyQuery, cookie: o.KeyCookie}
}

// take returns the request's key and removes it from header, query and
// cookies, and from any other header that repeats it.
func (k keyReader) take(r *http.Request) (string, bool) {
	key := k.find(r)
	r.Header.Del(k.header)
	r.Header.Del("Proxy-Authorization")
	if k.query != "" {
		dropQuery(r.URL, func(name, _ string) bool { return name == k.query })
	}
	if k.cookie != "" {
		dropCookies(r, func(c *http.Cookie) bool { return c.Name == k.cookie })
	}
	if key == "" {
		return "", false
	}
	scrub(r, key)
	return key, true
}

// find returns the key from the first place that has one.
func (k keyReader) find(r *http.Request) string {
	if text := r.Header.Get(k.header); text != "" {
		if k.header != defaultKeyHeader {
			return text
		}
		if n := len(k.scheme); len(text) > n && strings.EqualFold(text[:n], k.scheme) {
			return strings.TrimSpace(text[n:])
		}
	}
	if k.query != "" {
		if text := r.URL.Query().Get(k.query); text != "" {
			return text
		}
	}
	if k.cookie != "" {
		if c, err := r.Cookie(k.cookie); err == nil {
			return c.Value
		}
	}
	return ""
}

// scrub removes every header, cookie and query parameter that contains the key.
func scrub(r *http.Request, key string) {
	for name, values := range r.Header {
		if name != "Cookie" && contains(values, key) {
			r.Header.Del(name)
		}
	}
	if contains(r.Header["Cookie"], key) {
		dropCookies(r, func(c *http.Cookie) bool { return strings.Contains(c.Value, key) })
	}
	if contains(r.Header["Cookie"], key) {
		r.Header.Del("Cookie")
	}
	if r.URL.RawQuery != "" {
		dropQuery(r.URL, func(name, value string) bool {
			return strings.Contains(name, key) || strings.Contains(value, key)
		})
	}
}

func contains(values []string, key string) bool {
	for _, v := range values {
		if strings.Contains(v, key) {
			return true
		}
	}
	return false
}

// dropQuery removes the parameters that drop selects and keeps the rest as it is.
func dropQuery(u *url.URL, drop func(name, value string) bool) {
	var kept []string
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		rawName, rawValue, _ := strings.Cut(part, "=")
		name, nameErr := url.QueryUnescape(rawName)
		value, valueErr := url.QueryUnescape(rawValue)
		if nameErr != nil || valueErr != nil || drop(name, value) {
			continue
		}
		kept = append(kept, part)
	}
	u.RawQuery = strings.Join(kept, "&")
}

// dropCookies removes the cookies that drop selects.
func dropCookies(r *http.Request, drop func(*http.Cookie) bool) {
	cookies := r.Cookies()
	r.Header.Del("Cookie")
	for _, c := range cookies {
		if !drop(c) {
			r.AddCookie(c)
		}
	}
}
