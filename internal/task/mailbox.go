// Package task provides the building blocks of the concurrent part of the
// system: a task is one goroutine that owns its state and receives typed
// messages from a bounded mailbox.
package task

import "context"

// Mailbox is a bounded queue of messages to one task. A full mailbox is an
// overload signal: TrySend then reports false and the sender must refuse the
// work or hold it back.
type Mailbox[T any] struct {
	ch chan T
}

// NewMailbox returns a mailbox that holds at most capacity messages.
func NewMailbox[T any](capacity int) Mailbox[T] {
	return Mailbox[T]{ch: make(chan T, capacity)}
}

// TrySend posts a message without waiting. It reports false if the mailbox is full.
func (m Mailbox[T]) TrySend(msg T) bool {
	select {
	case m.ch <- msg:
		return true
	default:
		return false
	}
}

// Send posts a message and waits for room until ctx ends.
func (m Mailbox[T]) Send(ctx context.Context, msg T) error {
	select {
	case m.ch <- msg:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Receive returns the channel from which the owning task reads.
func (m Mailbox[T]) Receive() <-chan T { return m.ch }

// Len returns the number of waiting messages.
func (m Mailbox[T]) Len() int { return len(m.ch) }

// Serve passes each message to handle until ctx ends. It is the loop of a task
// that waits for nothing but its mailbox.
func Serve[T any](ctx context.Context, m Mailbox[T], handle func(T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-m.ch:
			handle(msg)
		}
	}
}
