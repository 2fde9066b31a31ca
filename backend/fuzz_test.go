package backend

import (
	"bytes"
	"net/http"
	"testing"

	ramp "sycamoreramp.example/sycamoreramp"
)

// FuzzReply reads arbitrary bytes as a reply. A connection that has more bytes to read
// after a reply must not be reused.
func FuzzReply(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\nKeep-Alive: timeout=-1\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newReplyReader(bytes.NewReader(data), ramp.NewMemory(testMemory))
		r := readReply(reader, http.MethodGet, nil)
		if r.err == nil && r.reusable && reader.Buffered() > 0 {
			t.Error("connection with unread bytes is reusable")
		}
		if r.err == nil && (r.response.Status < 200 || len(r.response.Body) > len(data)) {
			t.Errorf("status %d with %d bytes of %d", r.response.Status, len(r.response.Body), len(data))
		}
	})
}
