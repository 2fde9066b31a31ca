package backend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	ramp "sycamoreramp.example/sycamoreramp"
)

// TestTruncatedReplyIsNotComplete fails when a reply that ends early passes for a complete
// one: in the head, or in a body whose end is marked.
func TestTruncatedReplyIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: m\r\n"
	tests := []struct {
		name, reply string
		unmarked    string // end of the reply that may be missing without a sign
	}{
		{"length", head + "Content-Length: 32\r\n\r\n" + strings.Repeat("1", 32), ""},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", ""},
		{"end of the connection", head + "\r\n0123456789abcdef", "0123456789abcdef"},
		{"line feeds alone", strings.ReplaceAll(head, "\r", "") + "\n0123456789abcdef", "0123456789abcdef"},
		{"interim response", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + head + "\r\n", ""},
		{"no fields", "HTTP/1.1 200 OK\r\n\r\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for n := range len(test.reply) - len(test.unmarked) {
				r := readReply(newTestReader(test.reply[:n]), http.MethodGet, nil)
				if r.err == nil {
					t.Errorf("cut after %q: status %d with %d bytes of body", test.reply[max(0, n-12):n], r.response.Status,
						len(r.response.Body))
				}
			}
			r := readReply(newTestReader(test.reply), http.MethodGet, nil)
			is.NoErr(r.err)
			is.Equal(r.response.Status, http.StatusOK)
		})
	}
}

// newTestReader returns a reader of the bytes of one connection.
func newTestReader(bytes string) *replyReader {
	return newReplyReader(strings.NewReader(bytes), ramp.NewMemory(testMemory))
}
