package front

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// responseHead encodes the head of a response. A negative length means a chunked
// body.
func responseHead(status int, header http.Header, length int, closing bool) *bytes.Buffer {
	var head bytes.Buffer
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	head.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\n")
	_ = header.Write(&head)
	if length >= 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	} else {
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if closing {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	return &head
}

// write writes the parts of a response without copying them.
func (c *connection) write(parts ...[]byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	buffers := net.Buffers(parts)
	_, err := buffers.WriteTo(c.conn)
	return err
}

// appendChunk appends data as one chunk of a chunked body, nothing if it is empty
// since an empty chunk would end the body.
func appendChunk(out *bytes.Buffer, data []byte) {
	if len(data) == 0 {
		return
	}
	out.WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n")
	out.Write(data)
	out.WriteString("\r\n")
}

const lastChunk = "0\r\n\r\n"
