package laburnumnode

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"laburnumlever"
	"laburnumlever/laburnumdistribution"
	"laburnumlever/laburnumeventloop"
	"laburnumlever/laburnummembership"
	"laburnumlever/laburnummetrics"
	"laburnumlever/laburnumorder"
	"laburnumlever/laburnumpeer"
	"laburnumlever/laburnumproxy"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumtimer"
	"laburnumlever/laburnumvoter"
)

// Node is one entry VM's process.
type Node struct {
	settings laburnumsettings.Settings
	logger   log.Logger
	setLevel func(level string) error
	metrics  *laburnummetrics.Metrics
	timers   laburnumlever.Timers

	self      laburnumlever.VM
	listeners *listeners
	servers   []*http.Server
	loop      *laburnumeventloop.Loop
	publisher *publisher

	peers       *laburnumpeer.Peers
	membership  *laburnummembership.Membership
	distributor *laburnumdistribution.Distributor
	voter       *laburnumvoter.Voter
	owner       *laburnumorder.Owner
	proxy       *laburnumproxy.Proxy

	// notReady is the reason that the VM does not serve callers, empty if it does.
	// Only the control thread uses it.
	notReady string
	cancels  []func()
}

// New returns a node that is not started; its listeners are open. Errors:
// *laburnumlever.ListenError, *laburnumlever.StartError.
func New(settings laburnumsettings.Settings, opts ...Option) (*Node, error) {
	n := &Node{
		settings: settings,
		logger:   log.NewNopLogger(),
		setLevel: func(string) error { return nil },
	}
	for _, opt := range opts {
		opt(n)
	}
	if n.metrics == nil {
		n.metrics = laburnummetrics.New()
	}
	if n.timers == nil {
		n.timers = laburnumtimer.New()
	}
	ln, err := openListeners(context.Background(), settings.Listen)
	if err != nil {
		return nil, err
	}
	n.listeners = ln
	n.self = n.describeSelf()
	if err := n.build(); err != nil {
		ln.close()
		return nil, err
	}
	return n, nil
}

// Addresses returns the addresses that the listeners are bound to.
func (n *Node) Addresses() laburnumsettings.Listen { return n.listeners.addresses() }

// Start starts the node and returns once all listeners accept connections. Errors:
// *laburnumlever.StartError.
func (n *Node) Start() error {
	go n.loop.Run()
	go n.servePeers()
	n.startParts()
	if err := n.serveHTTP(); err != nil {
		return err
	}
	n.log(level.InfoValue(), "msg", "started", "callers", n.Addresses().Callers)
	return nil
}

func (n *Node) describeSelf() laburnumlever.VM {
	addresses := n.listeners.addresses()
	peerAddress := addresses.Peers
	if n.settings.Advertise.Peers != "" {
		peerAddress = n.settings.Advertise.Peers
	}
	return laburnumlever.VM{
		ID:            n.settings.VM,
		Zone:          n.settings.Zone,
		Region:        n.settings.Region,
		PeerAddress:   peerAddress,
		CallerAddress: addresses.Callers,
		HasDisk:       n.settings.DataFolder != "",
		// The wall clock is usually later at each start. If it was set back, this VM
		// raises its incarnation once it learns that the others know a higher one.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func (n *Node) log(lvl level.Value, keyvals ...any) {
	logger := log.WithPrefix(n.logger, level.Key(), lvl, "part", "node")
	_ = logger.Log(keyvals...)
}
