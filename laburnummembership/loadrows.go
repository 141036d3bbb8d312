package laburnummembership

import (
	"encoding/binary"

	"laburnumlever"
)

// loadRow is a load report without the inventory, which is sent only on change.
type loadRow struct {
	key      uint64 // see loadKey
	sequence uint64
	inFlight uint64
	queued   uint64
}

// loadKeyBytes is the size of a load key.
const loadKeyBytes = loadKeyBits / 8

// loadRows are encoded rows: the key in five bytes, the rest as varints. A row takes about ten
// bytes, thirteen in a JSON string; columns of JSON numbers took twenty-four.
type loadRows []byte

// maxRowBytes is the size of the longest row with counts below two million.
const maxRowBytes = loadKeyBytes + binary.MaxVarintLen64 + 3 + 3

func (l loadRows) append(r loadRow) loadRows {
	for shift := loadKeyBits - 8; shift >= 0; shift -= 8 {
		l = append(l, byte(r.key>>shift))
	}
	l = binary.AppendUvarint(l, r.sequence)
	l = binary.AppendUvarint(l, r.inFlight)
	return binary.AppendUvarint(l, r.queued)
}

// rows decodes the rows. A truncated row at the end is ignored.
func (l loadRows) rows() []loadRow {
	var out []loadRow
	for len(l) > loadKeyBytes {
		var r loadRow
		for _, b := range l[:loadKeyBytes] {
			r.key = r.key<<8 | uint64(b)
		}
		l = l[loadKeyBytes:]
		for _, field := range []*uint64{&r.sequence, &r.inFlight, &r.queued} {
			value, n := binary.Uvarint(l)
			if n <= 0 {
				return out
			}
			*field = value
			l = l[n:]
		}
		out = append(out, r)
	}
	return out
}

func (c *core) collectLoads(queue *updateQueue, skip map[string]bool) loadRows {
	var rows loadRows
	queue.take(loadSends, func(key string) addResult {
		r, ok := c.backends.records[laburnumlever.BackendID(key)]
		switch {
		case !ok:
			return addGone
		case skip["l"+key]:
			return addSkipped
		case len(rows)+maxRowBytes > loadBudget:
			return addFull
		}
		rows = rows.append(loadRow{
			key:      loadKey(r.state.Backend, r.state.Incarnation),
			sequence: r.report.Sequence,
			inFlight: uint64(max(0, r.report.InFlight)),
			queued:   uint64(max(0, r.report.Queued)),
		})
		return addSent
	})
	return rows
}
