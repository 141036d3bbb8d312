package laburnumgateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever"
)

// Guards against a status that hides who was refused, or that still shows it when it is long over.
func TestRefusalsOfTheLastMinute(t *testing.T) {
	var w refusalWindow
	start := time.Unix(1_000_000, 0)
	require.Nil(t, w.status(start))
	w.add("acme", laburnumlever.RefusedOverQuota, start)
	w.add("acme", laburnumlever.RefusedOverQuota, start.Add(30*time.Second))
	w.add("acme", laburnumlever.RefusedQueueFull, start.Add(30*time.Second))
	w.add("", laburnumlever.RefusedUnknownKey, start.Add(30*time.Second))
	s := w.status(start.Add(30 * time.Second))
	require.Equal(t, 4, s.Requests)
	require.Equal(t, map[laburnumlever.RefusalReason]int{laburnumlever.RefusedOverQuota: 2, laburnumlever.RefusedQueueFull: 1, laburnumlever.RefusedUnknownKey: 1}, s.Reasons)
	require.Len(t, s.Accounts, 1)
	require.Equal(t, 3, s.Accounts[0].Requests)
	require.Equal(t, 3, w.status(start.Add(70*time.Second)).Requests)
	require.Nil(t, w.status(start.Add(100*time.Second)))
}

// Guards against a status, or a gateway's memory, that grows with the accounts.
func TestRefusalsAreBounded(t *testing.T) {
	var w refusalWindow
	now := time.Unix(1_000_000, 0)
	for i := range 2 * maxRefusalKeys {
		w.add(laburnumlever.AccountName(fmt.Sprint(i)), laburnumlever.RefusedOverQuota, now)
	}
	for range 9 {
		w.add("1", laburnumlever.RefusedOverQuota, now)
	}
	s := w.status(now)
	require.Equal(t, 2*maxRefusalKeys+9, s.Requests)
	require.Len(t, s.Accounts, laburnumlever.MaxAccountStatuses)
	require.Equal(t, laburnumlever.AccountName("1"), s.Accounts[0].Account)
	require.LessOrEqual(t, len(w.slots[slotNumber(now)%int64(refusalSlots)].counts), maxRefusalKeys+1)
}
