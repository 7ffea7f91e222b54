// Package task provides the building blocks of the system's concurrent code. A
// task is a goroutine that owns its state and receives typed messages from a
// bounded mailbox.
package task

import "context"

// Mailbox is a bounded queue of messages to one task. A full mailbox signals
// overload: TrySend then reports false and the sender must refuse or delay the
// work.
type Mailbox[T any] struct {
	ch chan T
}

// NewMailbox returns a mailbox that holds at most capacity messages.
func NewMailbox[T any](capacity int) Mailbox[T] {
	return Mailbox[T]{ch: make(chan T, capacity)}
}

// TrySend adds a message without blocking. It reports false if the mailbox is
// full.
func (m Mailbox[T]) TrySend(msg T) bool {
	select {
	case m.ch <- msg:
		return true
	default:
		return false
	}
}

// Send adds a message. It blocks while the mailbox is full and returns the cause
// of the cancellation if ctx is cancelled first.
func (m Mailbox[T]) Send(ctx context.Context, msg T) error {
	select {
	case m.ch <- msg:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Receive returns the channel from which the owning task receives.
func (m Mailbox[T]) Receive() <-chan T { return m.ch }

// Len returns the number of queued messages.
func (m Mailbox[T]) Len() int { return len(m.ch) }

// Serve passes each message to handle until ctx is cancelled. It is the main
// loop of a task that has no input but its mailbox.
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
