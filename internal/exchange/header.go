package exchange

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that are never forwarded: those of RFC 9110
// section 7.6.1, even if Connection does not list them, and those of proxy
// authentication (section 11.7).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// EndToEnd returns a copy of h without its hop-by-hop fields.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
