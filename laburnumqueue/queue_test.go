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

// One caller sends a hundred requests just before another sends one. First come
// first served, the one would wait for all hundred; it goes second at the latest.
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

// A long prompt waits, and short ones keep coming. Shortest first alone would never
// let it through; it gets its turn after about its own cost in short ones.
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
	t.Fatal("starved")
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

// The queue is full of one caller's requests when another's comes. Refusing the
// newcomer would let the first hold the whole queue; the first gives one up.
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
