// Package bodybuffer reads the bodies of requests and responses into memory. Many are read at the
// same time; what they hold together is bounded.
package bodybuffer

import (
	"errors"
	"io"
	"sync"

	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"
)

// Errors of a body that is not read to its end.
var (
	// Error is the class of errors of this package.
	Error = errs.Class("body")
	// ErrTooLarge is returned for a body above the limit of one body.
	ErrTooLarge = errors.New("the body exceeds the limit; send a shorter one")
	// ErrNoMemory is returned if the bodies that are read at the same time leave no room.
	ErrNoMemory = errors.New("the bodies that are read at the same time leave no room; retry later")
)

// UncountedBytes is the size up to which a body needs no room in the memory that all share.
const UncountedBytes = chunkBytes

// chunkBytes is the size of the chunks in which a body of unknown length is collected.
const chunkBytes = 16 << 10

// freeChunks holds chunks for reuse. Bodies without end would otherwise leave garbage faster
// than it is collected.
var freeChunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Options configures a Buffer.
type Options struct {
	// Memory is the memory in bytes that all buffers share.
	Memory *semaphore.Weighted
	// MaxBytes bounds the body.
	MaxBytes int64
	// Length is the stated length of the body, -1 if it is not known.
	Length int64
	// Received is called with the number of bytes after each read. It may be nil.
	Received func(n int)
}

// Buffer collects one body. What it holds is reserved from the memory that all share, until
// Release.
type Buffer struct {
	options  Options
	reserved int64
	// chunks holds a body of unknown length. All but the last are full.
	chunks []*[chunkBytes]byte
	size   int
}

// New returns an empty buffer.
func New(o Options) *Buffer {
	if o.Received == nil {
		o.Received = func(int) {}
	}
	return &Buffer{options: o}
}

// ReadAll reads body to its end. After an error nothing is reserved.
func (b *Buffer) ReadAll(body io.Reader) ([]byte, error) {
	read := b.readChunks
	if b.options.Length >= 0 {
		read = b.readExactly
	}
	data, err := read(body)
	if err != nil {
		b.Release()
	}
	return data, err
}

// readExactly reads a body of known length.
func (b *Buffer) readExactly(body io.Reader) ([]byte, error) {
	if b.options.Length > b.options.MaxBytes {
		return nil, Error.New("%d bytes stated, %d allowed: %w", b.options.Length, b.options.MaxBytes, ErrTooLarge)
	}
	if err := b.reserve(b.options.Length); err != nil {
		return nil, err
	}
	data := make([]byte, b.options.Length)
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
func (b *Buffer) readChunks(body io.Reader) ([]byte, error) {
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
func (b *Buffer) addChunk() error {
	if int64(b.size) > b.options.MaxBytes {
		return b.tooLarge()
	}
	if err := b.reserve(chunkBytes); err != nil {
		return err
	}
	b.chunks = append(b.chunks, freeChunks.Get().(*[chunkBytes]byte)) //nolint:forcetypeassert // it holds nothing else
	return nil
}

// fillChunk reads into the last chunk until it is full. It reports whether the body has ended.
func (b *Buffer) fillChunk(body io.Reader) (ended bool, err error) {
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
func (b *Buffer) join() ([]byte, error) {
	if int64(b.size) > b.options.MaxBytes {
		return nil, b.tooLarge()
	}
	chunked := b.reserved
	b.reserved = 0
	defer func() { b.options.Memory.Release(chunked) }()
	if b.size > UncountedBytes {
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

func (b *Buffer) tooLarge() error {
	return Error.New("more than %d bytes: %w", b.options.MaxBytes, ErrTooLarge)
}

func (b *Buffer) received(n int) {
	b.size += n
	b.options.Received(n)
}

// reserve reserves memory, but for the first UncountedBytes.
func (b *Buffer) reserve(bytes int64) error {
	if bytes <= UncountedBytes && len(b.chunks) == 0 {
		return nil
	}
	if !b.options.Memory.TryAcquire(bytes) {
		return Error.New("%d bytes read: %w", b.size, ErrNoMemory)
	}
	b.reserved += bytes
	return nil
}

func (b *Buffer) freeAll() {
	for _, chunk := range b.chunks {
		freeChunks.Put(chunk)
	}
	b.chunks = nil
}

// Release returns the reserved memory.
func (b *Buffer) Release() {
	b.options.Memory.Release(b.reserved)
	b.reserved = 0
}
