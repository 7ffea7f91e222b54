package upstream

import (
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/cornelhold/cornelhold/internal/socket"
)

// chunkBytes is the size of the chunks in which a body of unknown length is collected.
const chunkBytes = 16 << 10

// freeChunks holds chunks for reuse. Bodies without end would otherwise leave garbage faster
// than it is collected.
var freeChunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// bodyBuffer collects the body of a response. What it holds is reserved from the memory that
// all buffered responses share.
type bodyBuffer struct {
	memory *semaphore.Weighted
	// limit is extended by what each byte of the body permits.
	limit *socket.LimitedReader
	// length is the stated length of the body, -1 if it is not known.
	length   int64
	reserved int64
	// chunks holds a body of unknown length. All but the last are full.
	chunks []*[chunkBytes]byte
	size   int
}

// readAll reads body to its end. After an error nothing is reserved.
func (b *bodyBuffer) readAll(body io.Reader) ([]byte, error) {
	read := b.readChunks
	if b.length >= 0 {
		read = b.readExactly
	}
	data, err := read(body)
	if err != nil {
		b.release()
	}
	return data, err
}

// readExactly reads a body of known length.
func (b *bodyBuffer) readExactly(body io.Reader) ([]byte, error) {
	if err := b.reserve(b.length); err != nil {
		return nil, err
	}
	data := make([]byte, b.length)
	for b.size < len(data) {
		n, err := body.Read(data[b.size:])
		b.received(n)
		switch {
		case errors.Is(err, io.EOF): // earlier only if there is no body, such as after HEAD
			return data[:b.size], nil
		case err != nil:
			return nil, err
		}
	}
	return data, nil
}

// readChunks reads a body of unknown length.
func (b *bodyBuffer) readChunks(body io.Reader) ([]byte, error) {
	defer b.freeAll()
	for {
		if err := b.addChunk(); err != nil {
			return nil, err
		}
		ended, err := b.fillChunk(body)
		if err != nil {
			return nil, err
		}
		if ended {
			return b.join()
		}
	}
}

// addChunk makes room for the next part of the body.
func (b *bodyBuffer) addChunk() error {
	if b.size > maxResponseBytes {
		return Error.New("response body exceeds the limit of %d bytes", maxResponseBytes)
	}
	if err := b.reserve(chunkBytes); err != nil {
		return err
	}
	b.chunks = append(b.chunks, freeChunks.Get().(*[chunkBytes]byte)) //nolint:forcetypeassert // it holds nothing else
	return nil
}

// fillChunk reads into the last chunk until it is full. It reports whether the body has ended.
func (b *bodyBuffer) fillChunk(body io.Reader) (ended bool, err error) {
	chunk := b.chunks[len(b.chunks)-1]
	for used := 0; used < chunkBytes; {
		n, err := body.Read(chunk[used:])
		used += n
		b.received(n)
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// join returns the whole body. The chunks are reserved until they have been copied.
func (b *bodyBuffer) join() ([]byte, error) {
	chunked := b.reserved
	b.reserved = 0
	defer func() { b.memory.Release(chunked) }()
	if b.size > uncountedBytes {
		if err := b.reserve(int64(b.size)); err != nil {
			return nil, err
		}
	}
	body := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		body = append(body, chunk[:min(chunkBytes, b.size-len(body))]...)
	}
	return body, nil
}

func (b *bodyBuffer) received(n int) {
	b.size += n
	b.limit.Extend(int64(n) * (1 + framingRatio))
}

// reserve reserves memory, but for the first uncountedBytes.
func (b *bodyBuffer) reserve(bytes int64) error {
	if bytes <= uncountedBytes && len(b.chunks) == 0 {
		return nil
	}
	if !b.memory.TryAcquire(bytes) {
		return Error.New("response body of more than %d bytes exceeds the memory for responses; retry later", b.size)
	}
	b.reserved += bytes
	return nil
}

func (b *bodyBuffer) freeAll() {
	for _, chunk := range b.chunks {
		freeChunks.Put(chunk)
	}
	b.chunks = nil
}

// release returns the reserved memory.
func (b *bodyBuffer) release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}
