package laburnumroles

import (
	"laburnumlever"
	"laburnumlever/laburnumroom"
)

// publishRoom publishes a level that the director has decided. It runs on the control thread.
func (c *Control) publishRoom(l laburnumroom.Level) {
	l.Director = c.self.ID
	c.mu.Lock()
	c.room.Apply(l, c.timers.Now())
	c.mu.Unlock()
	c.source.SetRoom(l)
}

// clearRoom drops the levels when this VM is no longer the director. It runs on the control thread.
func (c *Control) clearRoom() {
	c.mu.Lock()
	c.room = laburnumroom.NewTable()
	c.mu.Unlock()
	c.source.ClearRoom()
}

// roomStatus returns the levels that this VM has published as the director.
func (c *Control) roomStatus() []laburnumlever.RoomStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timers.Now()
	c.room.Expire(now)
	return c.room.Status(now)
}
