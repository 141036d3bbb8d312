package laburnumgateway

import "laburnumlever/laburnumsocket"

// DeliveredBytes returns how many bytes the callers for whom something is held have taken, as far as the kernel knows.
func (g *Gateway) DeliveredBytes() uint64 {
	bs := g.backlogs
	bs.mu.Lock()
	defer bs.mu.Unlock()
	var n uint64
	for _, b := range bs.open {
		n += laburnumsocket.Delivered(b.conn.raw)
	}
	return n
}
