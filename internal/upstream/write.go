package upstream

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
)

// maxInlineBodyBytes is the maximum size of a body that is written before the
// response is read. Larger bodies are written concurrently, because an
// endpoint may respond before it has read them.
const maxInlineBodyBytes = 2048

// errLate is the error of a request of which nothing was written, since SendBy has passed.
var errLate = Error.New("too late to send the request")

// write sends head and body. The returned channel receives the result of the
// write; a large body is written by a separate goroutine. SendBy is checked again by the
// goroutine that writes: the process may have been suspended since the connection was there.
func (x *exchange) write(c *Conn) (chan error, error) {
	r := x.request
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return nil, Error.Wrap(err)
	}
	head.WriteString("\r\n")
	written := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes {
		head.Write(r.Body)
		if x.isLate() {
			return nil, errLate
		}
		x.sent = true
		_, err := c.conn.Write(head.Bytes())
		written <- err
		return written, err
	}
	late := make(chan bool, 1)
	go func() {
		isLate := x.isLate()
		late <- isLate
		if isLate {
			return
		}
		parts := net.Buffers{head.Bytes(), r.Body}
		_, err := parts.WriteTo(c.conn)
		written <- err
	}()
	if <-late {
		return nil, errLate
	}
	x.sent = true
	return written, nil
}
