package laburnumvoter

import "fmt"

// BadEntryError is a committed entry that can't be decoded. It stops the replica.
type BadEntryError struct {
	Index uint64
	Cause error
}

func (e *BadEntryError) Error() string {
	return fmt.Sprintf("committed log entry %d can't be decoded: %v", e.Index, e.Cause)
}

// Unwrap returns the cause.
func (e *BadEntryError) Unwrap() error { return e.Cause }

// ChunkOffsetError is an answer to a chunk that asks for an offset outside of the command.
type ChunkOffsetError struct{ Offset, Size int }

func (e *ChunkOffsetError) Error() string {
	return fmt.Sprintf("asked for a chunk at offset %d of a command of %d bytes", e.Offset, e.Size)
}
