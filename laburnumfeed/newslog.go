package laburnumfeed

import (
	"encoding/json"
	"slices"

	"laburnumlever"
)

// pageItems bounds the items of one answer. At the start every VM polls for everything at once, and
// whole answers to hundreds of VMs would exhaust a control VM's memory; smaller pages cost more
// round trips.
const pageItems = 512

// compactAbove is how many outdated items a log keeps beyond the number of valid ones.
const compactAbove = 64

// newsLog holds the newest encoded item of each backend server, ordered by cursor. Reading after a
// cursor takes time linear in what follows. It is not safe for concurrent use.
type newsLog struct {
	items []newsItem
	// at is the cursor of each backend server's valid item.
	at map[laburnumlever.BackendID]uint64
}

type newsItem struct {
	backend laburnumlever.BackendID
	at      uint64
	encoded json.RawMessage
}

func newNewsLog() *newsLog { return &newsLog{at: map[laburnumlever.BackendID]uint64{}} }

// put appends an item at a cursor above all others.
func (l *newsLog) put(id laburnumlever.BackendID, at uint64, encoded json.RawMessage) {
	l.at[id] = at
	l.items = append(l.items, newsItem{backend: id, at: at, encoded: encoded})
	if len(l.items) > 2*len(l.at)+compactAbove {
		l.items = slices.DeleteFunc(l.items, l.outdated)
	}
}

func (l *newsLog) remove(id laburnumlever.BackendID) { delete(l.at, id) }

func (l *newsLog) clear() { l.items, l.at = nil, map[laburnumlever.BackendID]uint64{} }

func (l *newsLog) outdated(n newsItem) bool { return l.at[n.backend] != n.at }

// after returns the items newer than a cursor up to another.
func (l *newsLog) after(since, until uint64) []json.RawMessage {
	var out []json.RawMessage
	l.each(since, until, func(n newsItem) bool {
		out = append(out, n.encoded)
		return true
	})
	return out
}

// newer reports whether there is an item newer than a cursor up to another.
func (l *newsLog) newer(since, until uint64) bool {
	found := false
	l.each(since, until, func(newsItem) bool {
		found = true
		return false
	})
	return found
}

// page returns the last cursor of an answer that begins after since: until, or less if there are
// more than pageItems.
func (l *newsLog) page(since, until uint64) uint64 {
	n := 0
	end := until
	l.each(since, until, func(item newsItem) bool {
		n++
		if n == pageItems {
			end = item.at
		}
		return n < pageItems
	})
	return end
}

// each calls fn for the valid items newer than since up to until, while it returns true.
func (l *newsLog) each(since, until uint64, fn func(newsItem) bool) {
	from, _ := slices.BinarySearchFunc(l.items, since+1, func(n newsItem, at uint64) int {
		if n.at < at {
			return -1
		}
		return 1
	})
	for _, n := range l.items[from:] {
		if n.at > until {
			return
		}
		if !l.outdated(n) && !fn(n) {
			return
		}
	}
}
