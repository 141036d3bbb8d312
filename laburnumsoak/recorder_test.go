package laburnumsoak

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumlever/laburnumstandin"
)

// Guards against soak checks that never fail: each kind of violation must be reported.
func TestEachViolationIsReported(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		do   func(r *recorder)
		want string
	}{
		"run twice": {func(r *recorder) { r.requestRan("a"); r.requestRan("a") }, "request a ran 2 times"},
		"refused and run": {func(r *recorder) {
			r.bookingEnded("a", http.StatusServiceUnavailable, nil)
			r.requestRan("a")
		}, "request a was refused as not run but ran"},
		"answered and not run": {func(r *recorder) { r.bookingEnded("a", http.StatusOK, nil) }, "request a was answered but no backend server ran it"},
		"event lost":           {func(r *recorder) { r.streamEnded("a", []int{1, 3}, false) }, "stream a: received event 3 at position 2"},
		"event twice":          {func(r *recorder) { r.streamEnded("a", []int{1, 2, 2}, false) }, "stream a: received event 2 at position 3"},
		"ends early":           {func(r *recorder) { r.streamEnded("a", []int{1, 2}, true) }, "stream a ended as complete after 2 events"},
		"a piece without an id": {func(r *recorder) {
			r.streamAnswered("a", http.StatusOK, []byte("id: 1\ndata: m0 word 1\n\n\x80\n\n"), false)
		}, `stream a: a piece that no run made: "\x80"`},
		"bytes in an event": {func(r *recorder) {
			r.streamAnswered("a", http.StatusOK, []byte("id: 1\nx\ndata: m0 word 1\n\n"), false)
		}, `stream a: a piece that no run made: "id: 1\nx\ndata: m0 word 1"`},
		"bytes at the end": {func(r *recorder) {
			r.streamAnswered("a", http.StatusOK, []byte("id: 1\ndata: m0 word 1\n\nid: 2\ndata: m0 word 2\n\nid: 3\ndata: m0 word 3\n\nid: 4\ndata: m0 word 4\n\nid"), true)
		}, `stream a: a piece that no run made: "id"`},
		"older read": {func(r *recorder) {
			r.changeAcknowledged(7, now)
			r.readAnswered(6, now.Add(time.Second))
		}, "a read returned version 6 after version 7 was acknowledged"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder()
			test.do(r)
			require.Equal(t, []string{test.want}, r.check())
		})
	}
}

// Guards against false violations for lost answers, earlier reads and streams that break off.
func TestAllowedOutcomesAreNotReported(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newRecorder()
	r.requestRan("lost")
	r.bookingEnded("lost", http.StatusBadGateway, nil)
	r.changeAcknowledged(7, now)
	r.readAnswered(6, now.Add(-time.Second))
	r.readAnswered(8, now.Add(time.Second))
	r.streamEnded("s", []int{1, 2}, false)
	r.streamEnded("s", []int{1, 2, 3, 4}, true)
	r.streamAnswered("s", http.StatusOK, []byte(": c\n\nretry: 5\n\n: c\nid: 1\ndata: m0 word 1 of v1\n\nid: 2\nda"), false)
	r.streamAnswered("s", http.StatusServiceUnavailable, []byte("no-backend\n\n"), false)
	require.Empty(t, r.check())
}

// Guards against checks of silent servers that never fail, and against those that blame a gateway's end.
func TestCutAnswersOfSoundServersAreReported(t *testing.T) {
	asked := time.Unix(1_000_000, 0)
	const lost = "request look-1 at gateway-1 ended after 3s with neither an answer nor a refusal: unexpected EOF"
	const cut = "the answer to request look-1 at gateway-1 was cut at forms-1, which went on with it"
	for name, test := range map[string]struct {
		whole bool
		end   gatewayEnd
		want  []string
	}{
		"no end":                  {true, gatewayEnd{}, []string{lost, cut}},
		"body not sent":           {false, gatewayEnd{}, []string{cut}},
		"killed":                  {true, gatewayEnd{gateway: "gateway-1", killed: true, asked: asked, endedAt: asked}, nil},
		"killed before":           {true, gatewayEnd{gateway: "gateway-1", killed: true, asked: asked.Add(-9 * time.Second), endedAt: asked.Add(-9 * time.Second)}, []string{lost, cut}},
		"ended within its grace":  {true, gatewayEnd{gateway: "gateway-1", asked: asked, endedAt: asked.Add(2 * time.Second)}, []string{lost, cut}},
		"ended after its grace":   {true, gatewayEnd{gateway: "gateway-1", asked: asked.Add(-3 * time.Second), endedAt: asked.Add(2 * time.Second)}, nil},
		"ended before its grace":  {true, gatewayEnd{gateway: "gateway-1", asked: asked.Add(-3 * time.Second), endedAt: asked.Add(-500 * time.Millisecond)}, []string{lost, cut}},
		"helper killed":           {true, gatewayEnd{gateway: "gateway-2", killed: true, asked: asked.Add(time.Second), endedAt: asked.Add(time.Second)}, nil},
		"helper killed long ago":  {true, gatewayEnd{gateway: "gateway-2", killed: true, asked: asked.Add(-time.Second), endedAt: asked.Add(-time.Second)}, []string{lost, cut}},
		"helper within its grace": {true, gatewayEnd{gateway: "gateway-2", asked: asked, endedAt: asked.Add(2 * time.Second)}, []string{lost, cut}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder()
			r.steadyEnded("look-1", steadyRequest{
				gateway: "gateway-1", sentAt: asked.Add(-2 * time.Second), endedAt: asked.Add(time.Second), whole: test.whole, err: io.ErrUnexpectedEOF,
			})
			r.cuts = []cutAnswer{{id: "look-1", server: "forms-1", at: asked.Add(time.Second)}}
			if test.end.gateway != "" {
				r.gatewayEnds = []gatewayEnd{test.end}
			}
			require.Equal(t, test.want, r.check())
		})
	}
}

// Guards against checks that blame a gateway for time limits or connections turned away unread, or excuse resets of open connections.
func TestRequestsTurnedAwayOrOverdueAreNotReported(t *testing.T) {
	sent := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		q    steadyRequest
		ran  bool
		lost bool
	}{
		"reset of a new connection":                   {steadyRequest{endedAt: sent.Add(time.Second), fresh: true, err: syscall.ECONNRESET}, false, false},
		"reset of a new connection whose request ran": {steadyRequest{endedAt: sent.Add(time.Second), fresh: true, err: syscall.ECONNRESET}, true, true},
		"reset of an open connection":                 {steadyRequest{endedAt: sent.Add(time.Second), err: syscall.ECONNRESET}, false, true},
		"end of a new connection":                     {steadyRequest{endedAt: sent.Add(time.Second), fresh: true, err: io.ErrUnexpectedEOF}, false, true},
		"beyond the time limit":                       {steadyRequest{endedAt: sent.Add(15 * time.Second), err: io.ErrUnexpectedEOF}, false, false},
		"just within the time limit":                  {steadyRequest{endedAt: sent.Add(15*time.Second - 1), err: io.ErrUnexpectedEOF}, false, true},
		"an answer or a refusal came":                 {steadyRequest{endedAt: sent.Add(time.Second)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder()
			test.q.sentAt, test.q.whole = sent, true
			r.steadyEnded("look-1", test.q)
			if test.ran {
				r.steadyRequestRan("forms-1", "look-1")
			}
			require.Equal(t, test.lost, len(r.check()) > 0)
		})
	}
}

// Guards against a check for crashing requests that never fails.
func TestRefusalOfAnInnocentRequestIsReported(t *testing.T) {
	r := newRecorder()
	r.refusedFor("a", []byte("no-backend\n"))
	require.Empty(t, r.check())
	r.refusedFor("b", []byte("quarantined\n"))
	require.Equal(t, []string{"request b was refused as one that crashes backend servers"}, r.check())
}

// Guards against a check for limits that never fails.
func TestEachFaultOfALimitIsReported(t *testing.T) {
	known := time.Unix(1_000_000, 0)
	limited := []*process{{name: "quotes-1"}}
	good := func() *limitCheck {
		return &limitCheck{load: &load{record: newRecorder()}, served: [gatewayVMs]int{10, 10}}
	}
	for name, test := range map[string]struct {
		change func(c *limitCheck)
		want   []string
	}{
		"none": {func(*limitCheck) {}, nil},
		"beyond the limit": {func(c *limitCheck) {
			for i := range 18 {
				c.record.ranAt["quotes-1"] = append(c.record.ranAt["quotes-1"], known.Add(time.Duration(i)*time.Millisecond))
			}
		}, []string{"quotes-1 named a limit of 2 a second and got 18 requests in 4s, allowed 17"}},
		"before it was known": {func(c *limitCheck) {
			for range 18 {
				c.record.ranAt["quotes-1"] = append(c.record.ranAt["quotes-1"], known.Add(-time.Millisecond))
			}
		}, nil},
		"refused beside a free server": {func(c *limitCheck) { c.refused = 1 }, []string{"1 bookings were refused although a server without a limit had room"}},
		"a gateway without a part":     {func(c *limitCheck) { c.served[1] = 0 }, []string{"gateway-2 served no stream while the engines were limited"}},
		"limits not used":              {func(c *limitCheck) { c.served = [gatewayVMs]int{4, 5} }, []string{"9 streams were served within the limits, at least 10 expected"}},
		"refused for another reason": {func(c *limitCheck) {
			c.begin()
			c.note(0, false, "a", false, []byte("backend-limited\n"))
			c.note(0, false, "b", false, []byte("no-backend\n"))
		}, []string{"request b was answered \"no-backend\\n\" while all engines of its model were limited"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := good()
			test.change(c)
			c.verify(limited, known)
			require.Equal(t, test.want, c.record.check())
		})
	}
}

// Guards against a check for requests of callers that left which never fails, or blames gateways for servers that did not run.
func TestRequestsOfLeaversAreReported(t *testing.T) {
	left := time.Unix(1_000_000, 0)
	late := func(n int, after time.Duration) *recorder {
		r := newRecorder()
		for i := range n {
			id := fmt.Sprintf("%s%d", leaverPrefix, i)
			r.left[id] = leaver{gateway: "gateway-1", at: left}
			r.steadyRan[id] = steadyRun{server: "forms-1", at: left.Add(after)}
		}
		return r
	}
	require.Empty(t, late(maxLateArrive, 2*time.Second).check())
	require.Len(t, late(maxLateArrive+1, 2*time.Second).check(), 1)
	require.Empty(t, late(maxLateArrive+1, goneTime).check())
	r := late(maxLateArrive+1, 2*time.Second)
	r.serversSilent([]*process{{name: "forms-1"}}, silence{from: left.Add(time.Second), to: left.Add(3 * time.Second)})
	require.Empty(t, r.check())
	r = late(maxLateArrive+1, 2*time.Second)
	r.serversSilent([]*process{{name: "forms-2"}}, silence{from: left.Add(time.Second), to: left.Add(3 * time.Second)})
	require.Len(t, r.check(), 1)
}

// Guards against a check for slow readers that excuses each cut answer that a gateway's log names.
func TestSlowReadersAreExcusedForMemoryOnly(t *testing.T) {
	for reason, lost := range map[string]bool{"budget": false, "silence": true, "stopped": true} {
		r := newRecorder()
		sent := time.Unix(1_000_000, 0)
		r.slowCallerEnded(fmt.Sprintf(`{"event":"slow-caller-ended","request-id":"slow-1","reason":%q}`, reason))
		r.steadyEnded("slow-1", steadyRequest{sentAt: sent, endedAt: sent.Add(time.Second), whole: true, slow: true, err: syscall.ECONNRESET})
		require.Equal(t, lost, len(r.check()) > 0, reason)
	}
}

// Guards against a check of early ends that lets any of them pass, or none that nothing tells.
func TestEarlyEndsAreAllowedWhereNothingTellsThem(t *testing.T) {
	body := []byte("id: 1\ndata: m0 word 1\n\n")
	r := newRecorder()
	r.answerSpoiled("memo-1", "end-then-bytes")
	r.answerSpoiled("memo-2", "chunk-then-end")
	r.answerSpoiled("report-4", "end-then-bytes")
	r.answerSpoiled("report-5", "twice")
	r.answerSpoiled("report-5", "empty")
	r.answerSpoiled("report-6", "empty")
	for id, route := range map[string]laburnumstandin.GarbledRoute{
		"memo-1": laburnumstandin.GarbledMemo, "memo-2": laburnumstandin.GarbledMemo, "memo-3": laburnumstandin.GarbledMemo, "report-4": laburnumstandin.GarbledReport,
		"report-5": laburnumstandin.GarbledReport, "report-6": laburnumstandin.GarbledReport,
	} {
		r.garbledStreamAnswered(route, id, http.StatusOK, body, true)
	}
	require.ElementsMatch(t, []string{
		"stream memo-2 ended as complete after 1 events", "stream memo-3 ended as complete after 1 events", "stream report-4 ended as complete after 1 events",
		"stream report-6 ended as complete after 1 events",
	}, r.check())
}
