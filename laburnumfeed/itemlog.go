package laburnumfeed

import (
	"encoding/json"
	"slices"
)

// pageItems is the maximum number of items in one answer. After a restart every VM polls for the
// whole state at once, and unpaged answers to hundreds of VMs would exhaust a control VM's memory;
// smaller pages cost more round trips.
const pageItems = 512

// compactAbove is the number of superseded items that a log keeps beyond the number of current ones
// before it is compacted.
const compactAbove = 64

// itemLog holds the newest encoded item of each key, such as a backend server, ordered by cursor.
// Reading after a cursor takes time linear in the items after it. It is not safe for concurrent use.
type itemLog struct {
	items []logItem
	// cursors is the cursor of each key's current item; other items are superseded.
	cursors map[string]uint64
}

type logItem struct {
	key     string
	cursor  uint64
	encoded json.RawMessage
}

func newItemLog() *itemLog { return &itemLog{cursors: map[string]uint64{}} }

// put appends an item. Its cursor must be greater than all previous ones.
func (l *itemLog) put(key string, cursor uint64, encoded json.RawMessage) {
	l.cursors[key] = cursor
	l.items = append(l.items, logItem{key: key, cursor: cursor, encoded: encoded})
	if len(l.items) > 2*len(l.cursors)+compactAbove {
		l.items = slices.DeleteFunc(l.items, l.outdated)
	}
}

func (l *itemLog) remove(key string) { delete(l.cursors, key) }

func (l *itemLog) clear() { l.items, l.cursors = nil, map[string]uint64{} }

func (l *itemLog) outdated(item logItem) bool { return l.cursors[item.key] != item.cursor }

// itemsIn returns the current items with cursors in (after, last].
func (l *itemLog) itemsIn(after, last uint64) []json.RawMessage {
	var out []json.RawMessage
	l.each(after, last, func(item logItem) bool {
		out = append(out, item.encoded)
		return true
	})
	return out
}

// hasNewer reports whether there is a current item with a cursor in (after, last].
func (l *itemLog) hasNewer(after, last uint64) bool {
	found := false
	l.each(after, last, func(logItem) bool {
		found = true
		return false
	})
	return found
}

// pageEnd returns the cursor at which an answer with the items in (after, last] ends: last, or the
// cursor of item number pageItems if there are that many.
func (l *itemLog) pageEnd(after, last uint64) uint64 {
	n := 0
	end := last
	l.each(after, last, func(item logItem) bool {
		n++
		if n == pageItems {
			end = item.cursor
		}
		return n < pageItems
	})
	return end
}

// each calls fn for the current items with cursors in (after, last], until fn returns false.
func (l *itemLog) each(after, last uint64, fn func(logItem) bool) {
	from, _ := slices.BinarySearchFunc(l.items, after+1, func(item logItem, first uint64) int {
		if item.cursor < first {
			return -1
		}
		return 1
	})
	for _, item := range l.items[from:] {
		if item.cursor > last {
			return
		}
		if !l.outdated(item) && !fn(item) {
			return
		}
	}
}
