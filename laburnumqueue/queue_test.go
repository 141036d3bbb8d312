package laburnumqueue_test

import (
	"testing"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumqueue"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func item(key string, cost int) *laburnumqueue.Item {
	return &laburnumqueue.Item{Owner: "o", Key: key, Entry: "m", Cost: cost, Deadline: start.Add(time.Second)}
}

func anyItem(*laburnumqueue.Item) bool { return true }

// Guards against one caller's many requests delaying another caller's single request.
func TestHeavyCallerDoesNotStarveAnother(t *testing.T) {
	q := laburnumqueue.New(1000)
	for range 100 {
		q.Push(item("heavy", 10))
	}
	q.Push(item("light", 10))
	position := 1
	for q.Pop(anyItem).Key != "light" {
		position++
	}
	require.LessOrEqual(t, position, 2)
}

// Guards against a long request that starves while short ones keep arriving, or goes before all of them.
func TestLongRequestNeitherStarvesNorBlocks(t *testing.T) {
	q := laburnumqueue.New(1000)
	for range 50 {
		q.Push(item("a", 10))
	}
	q.Push(item("long", 500))
	for i := range 500 {
		got := q.Pop(anyItem)
		if got.Cost == 500 {
			require.Greater(t, i, 20)
			require.LessOrEqual(t, i, 51)
			return
		}
		q.Push(item("a", 10))
	}
	t.Fatal("long request was never served")
}

func TestBatchGetsEverySixteenthSlot(t *testing.T) {
	q := laburnumqueue.New(1000)
	for range 64 {
		b := item("a", 10)
		b.Priority = laburnumlever.Batch
		q.Push(b)
		q.Push(item("b", 10))
	}
	batch := 0
	for range 64 {
		if q.Pop(anyItem).Priority == laburnumlever.Batch {
			batch++
		}
	}
	require.Equal(t, 4, batch)
}

// Guards against one caller that keeps the whole queue, so that requests of others are refused.
func TestFullQueueEvictsFromLongestFlow(t *testing.T) {
	q := laburnumqueue.New(3)
	for range 3 {
		require.Nil(t, q.Push(item("heavy", 10)))
	}
	require.Equal(t, "heavy", q.Push(item("light", 10)).Key)
	mine := item("heavy", 10)
	require.Same(t, mine, q.Push(mine))
	require.Equal(t, 3, q.Len())
	require.Len(t, q.Expire(start.Add(time.Second)), 3)
	require.Nil(t, q.Pop(anyItem))
}
