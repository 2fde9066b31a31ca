package standin

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestListener checks that a listener with a limit of one connection closes a
// second one at once, and accepts another after the first was closed.
func TestListener(t *testing.T) {
	is := is.New(t)
	accepted, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	limited := &listener{Listener: accepted, limit: 1}
	served := make(chan net.Conn)
	go func() {
		for {
			c, err := limited.Accept()
			if err != nil {
				return
			}
			served <- c
		}
	}()
	dial := func() net.Conn {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", accepted.Addr().String())
		is.NoErr(err)
		return c
	}
	first := dial()
	server := <-served
	second := dial()
	_, err = second.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed at once, above the limit
	is.NoErr(server.Close())
	third := dial()
	is.True(<-served != nil)
	for _, c := range []net.Conn{first, second, third} {
		_ = c.Close() // fails for those that the server closed
	}
}
