package backend

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// maxStatus is the greatest status of HTTP.
const maxStatus = 599

// Limits on the size of replies in bytes. A replica in trouble may send bytes without end.
const (
	maxHead     = 64 << 10 // of a head, together with those of the interim responses before it
	maxResponse = 16 << 20 // of a body, with its encoding in chunks
)

// ReplySizeError reports a reply that is longer than allowed.
type ReplySizeError struct {
	Part  string // head or body
	Limit int64  // in bytes
}

// Error implements error.
func (e *ReplySizeError) Error() string {
	return fmt.Sprintf("reply exceeds the limit: part=%s limit=%d", e.Part, e.Limit)
}

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
	memory *ramp.Memory // for bodies; shared by all connections
}

func newReplyReader(source io.Reader, memory *ramp.Memory) *replyReader {
	bounded := &boundedReader{Reader: source}
	r := &replyReader{Reader: bufio.NewReaderSize(bounded, readBuffer), source: bounded, memory: memory}
	r.allow(maxHead, "head")
	return r
}

// allow sets the number of bytes that may be read from now on. Part names what is read.
func (r *replyReader) allow(limit int64, part string) {
	r.source.left = limit - int64(r.Buffered())
	r.source.exceeded = &ReplySizeError{Part: part, Limit: limit}
}

// readBody reads the body of a response to its end. Its memory is added to held.
func (r *replyReader) readBody(response *http.Response, held *ramp.Holding) ([]byte, error) {
	r.allow(maxResponse, "body")
	return r.memory.ReadAll(response.Body, response.ContentLength, maxResponse, held)
}

// reply is the result of reading the response to one request.
type reply struct {
	response  ramp.Response
	reusable  bool          // the connection can carry another request
	keepAlive time.Duration // keep-alive time advertised by the replica; 0 for none
	err       error
}

// readReply reads one whole final response, whose memory is added to held. It skips
// interim responses. The connection is not reusable after a response without a length, or
// if more bytes have arrived.
func readReply(reader *replyReader, method string, held *ramp.Holding) reply {
	request := &http.Request{Method: method}
	reader.allow(maxHead, "head")
	defer reader.allow(maxHead, "head")
	for {
		response, err := http.ReadResponse(reader.Reader, request)
		if err != nil {
			return reply{err: err}
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			_ = response.Body.Close() // the connection is closed by its reader
			return reply{err: fmt.Errorf("invalid status %d", response.StatusCode)}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := reader.readBody(response, held)
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
