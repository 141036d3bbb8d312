package laburnumpeer

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// answerMethod is the method name that answers are counted under.
const answerMethod = "answer"

// methodCounters count the messages and bytes of one method in both directions.
type methodCounters struct {
	sentMessages, sentBytes         tally.Counter
	receivedMessages, receivedBytes tally.Counter
}

// counters caches the counters of each method: tagging a scope for each message costs more than
// sending it. The caller must map unknown methods of received messages to one name, otherwise a
// faulty peer could exhaust memory with method names.
type counters struct {
	scope  tally.Scope
	mu     sync.Mutex
	byName map[string]*methodCounters
}

func (c *counters) method(name string) *methodCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.byName[name]; ok {
		return m
	}
	scope := c.scope.Tagged(map[string]string{"method": name})
	m := &methodCounters{
		sentMessages:     scope.Counter("peer-sent-messages"),
		sentBytes:        scope.Counter("peer-sent-bytes"),
		receivedMessages: scope.Counter("peer-received-messages"),
		receivedBytes:    scope.Counter("peer-received-bytes"),
	}
	c.byName[name] = m
	return m
}

func (m *methodCounters) sent(bytes int) {
	m.sentMessages.Inc(1)
	m.sentBytes.Inc(int64(bytes))
}

func (m *methodCounters) received(bytes int) {
	m.receivedMessages.Inc(1)
	m.receivedBytes.Inc(int64(bytes))
}
