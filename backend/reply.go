package backend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits on the size of replies in bytes. A replica in trouble may send bytes without end.
const (
	maxHead          = 64 << 10 // of a head, together with those of the interim responses before it
	maxResponse      = 16 << 20 // of a body, with its encoding in chunks
	maxPendingBodies = 64 << 20 // of all bodies that are being read
	bodyChunk        = 32 << 10 // that are added to the pending bodies at once
)

// ReplySizeError reports a reply that is longer than allowed.
type ReplySizeError struct {
	Part  string // head, body, or bodies for all bodies together
	Limit int64  // in bytes
}

// Error implements error.
func (e *ReplySizeError) Error() string {
	return fmt.Sprintf("reply exceeds the limit: part=%s limit=%d", e.Part, e.Limit)
}

// byteBudget bounds the bytes in use at the same time.
type byteBudget struct {
	limit int64
	inUse atomic.Int64 // from 0 to limit, and more for a moment while a claim fails
}

// claim counts bytes as in use. It reports false, and counts none, beyond the limit.
func (b *byteBudget) claim(bytes int64) bool {
	if b.inUse.Add(bytes) <= b.limit {
		return true
	}
	b.release(bytes)
	return false
}

func (b *byteBudget) release(bytes int64) { b.inUse.Add(-bytes) }

// boundedReader fails after a number of bytes.
type boundedReader struct {
	io.Reader
	left     int64           // bytes that may still be read
	exceeded *ReplySizeError // returned after them
}

// Read implements [io.Reader].
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, b.exceeded
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// replyReader reads replies from a connection and bounds their size.
type replyReader struct {
	*bufio.Reader
	source *boundedReader
	bodies *byteBudget // shared by all connections
}

func newReplyReader(source io.Reader, bodies *byteBudget) *replyReader {
	bounded := &boundedReader{Reader: source}
	r := &replyReader{Reader: bufio.NewReaderSize(bounded, readBuffer), source: bounded, bodies: bodies}
	r.allow(maxHead, "head")
	return r
}

// allow sets the number of bytes that may be read from now on. Part names what is read.
func (r *replyReader) allow(limit int64, part string) {
	r.source.left = limit - int64(r.Buffered())
	r.source.exceeded = &ReplySizeError{Part: part, Limit: limit}
}

// readBody reads a body to its end.
func (r *replyReader) readBody(body io.Reader) ([]byte, error) {
	r.allow(maxResponse, "body")
	var data bytes.Buffer
	claimed := int64(0)
	defer func() { r.bodies.release(claimed) }()
	for {
		if !r.bodies.claim(bodyChunk) {
			return nil, &ReplySizeError{Part: "bodies", Limit: r.bodies.limit}
		}
		claimed += bodyChunk
		switch _, err := io.CopyN(&data, body, bodyChunk); {
		case errors.Is(err, io.EOF):
			return data.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}

// reply is the result of reading the response to one request.
type reply struct {
	response  ramp.Response
	reusable  bool          // the connection can carry another request
	keepAlive time.Duration // keep-alive time advertised by the replica; 0 for none
	err       error
}

// readReply reads one whole final response. It skips interim responses. The connection
// is not reusable after a response without a length, or if more bytes have arrived.
func readReply(reader *replyReader, method string) reply {
	request := &http.Request{Method: method}
	reader.allow(maxHead, "head")
	defer reader.allow(maxHead, "head")
	for {
		response, err := http.ReadResponse(reader.Reader, request)
		if err != nil {
			return reply{err: err}
		}
		if response.StatusCode < http.StatusContinue {
			_ = response.Body.Close() // the connection is closed by its reader
			return reply{err: fmt.Errorf("invalid status %d", response.StatusCode)}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := reader.readBody(response.Body)
		_ = response.Body.Close() // does not close the connection
		if err != nil {
			return reply{err: err}
		}
		untilClose := response.ContentLength < 0 && len(response.TransferEncoding) == 0
		return reply{
			response:  ramp.Response{Status: response.StatusCode, Fields: headerFields(response.Header), Body: body},
			reusable:  !response.Close && !untilClose && reader.Buffered() == 0,
			keepAlive: parseKeepAlive(response.Header.Get("Keep-Alive")),
		}
	}
}

// headerFields returns the header's fields. Those of one name keep their order.
func headerFields(header http.Header) []ramp.Field {
	fields := make([]ramp.Field, 0, len(header))
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, ramp.Field{Name: name, Value: v})
		}
	}
	return fields
}

// parseKeepAlive returns the timeout in the value of a Keep-Alive field, 0 for none.
func parseKeepAlive(value string) time.Duration {
	for parameter := range strings.SplitSeq(value, ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
