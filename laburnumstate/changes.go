package laburnumstate

import "laburnumlever"

// change is the recorded result of a change id. Conflicts are recorded too: otherwise a
// delayed copy of a refused change could be applied once its expected revision is current.
type change struct {
	ID       string                   `json:"id"`
	Digest   uint64                   `json:"digest"`
	Code     laburnumlever.ResultCode `json:"code"`
	Revision uint64                   `json:"revision"`
}

// repeatResult returns the result for a repeated change id.
func (c change) repeatResult(digest uint64) laburnumlever.Result {
	switch {
	case c.Digest != digest:
		return laburnumlever.Result{Code: laburnumlever.ResultMismatch, Detail: "the change id was already used with different content"}
	case c.Code == laburnumlever.ResultOK:
		return laburnumlever.Result{Code: laburnumlever.ResultRepeated, Revision: c.Revision}
	default:
		return laburnumlever.Result{Code: c.Code, Revision: c.Revision}
	}
}

// changeTable holds the latest changes, oldest first.
type changeTable struct {
	list []change
	byID map[string]change
}

func newChangeTable() changeTable { return changeTable{byID: map[string]change{}} }

func (t *changeTable) find(id string) (change, bool) {
	c, ok := t.byID[id]
	return c, ok
}

func (t *changeTable) add(c change, limit int) {
	t.list = append(t.list, c)
	t.byID[c.ID] = c
	for len(t.list) > limit {
		delete(t.byID, t.list[0].ID)
		t.list = t.list[1:]
	}
}
