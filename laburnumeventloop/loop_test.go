package laburnumeventloop_test

import (
	"testing"

	"laburnumlever"
	"laburnumlever/laburnumeventloop"

	"github.com/stretchr/testify/require"
)

type number int

func (number) EventName() string { return "number" }

type recorder struct {
	loop *laburnumeventloop.Loop
	got  []int
}

func (r *recorder) Handle(ev laburnumlever.Event) {
	n, ok := ev.(number)
	if !ok {
		return
	}
	r.got = append(r.got, int(n))
	if n == 1 {
		r.loop.Post(r, number(10))
	}
}

// Guards against events that a handler posts and that Drain leaves in the queue.
func TestDrainHandlesEventsPostedByEvents(t *testing.T) {
	after := 0
	loop := laburnumeventloop.New(laburnumeventloop.WithAfterEvent(func(laburnumlever.Event) { after++ }))
	part := &recorder{loop: loop}
	loop.Post(part, number(1))
	loop.Post(part, number(2))
	loop.Drain()
	require.Equal(t, []int{1, 2, 10}, part.got)
	require.Equal(t, 3, after)
}

// Guards against a queue that grows after the loop was stopped.
func TestPostAfterStopIsDropped(t *testing.T) {
	loop := laburnumeventloop.New()
	go loop.Run()
	loop.Stop()
	<-loop.Done()
	loop.Post(&recorder{loop: loop}, number(3))
	require.Zero(t, loop.Len())
}
