package laburnumsettings

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"laburnumlever"
)

// RoleSettings holds the settings of a process with a single role: a gateway, which serves
// callers, or a control VM, which stores the state. Limits that a platform guarantees or
// requires are settings, never constants.
type RoleSettings struct {
	// VM identifies the VM to the others. On a control VM it is the IP address, as in
	// the seeds.
	VM     laburnumlever.VMID       `json:"vm" required:"true"`
	Name   string                   `json:"name"`
	Zone   laburnumlever.ZoneName   `json:"zone" required:"true"`
	Region laburnumlever.RegionName `json:"region"`
	Listen RoleListen               `json:"listen"`
	// PeerPort is the port for connections between VMs, the same on all of them.
	PeerPort int `json:"peer-port" required:"true"`
	// MetricsPort is the port of the metrics endpoint; 0 disables it.
	MetricsPort int `json:"metrics-port"`
	// Seeds are the control addresses of some control VMs.
	Seeds []string `json:"seeds" required:"true"`
	// FirstStart reports whether the whole system starts for the first time, so that
	// the seeds may bootstrap the log.
	FirstStart bool `json:"first-start"`
	// DataFolder is empty on a gateway.
	DataFolder string `json:"data-folder"`
	MemoryMB   int    `json:"memory-mb"`
	// Descriptors is the maximum number of open files and connections of the process;
	// 0 means no limit.
	Descriptors int `json:"descriptors"`
	// ControlLosses is the number of simultaneous losses of control VMs, including their
	// disks, that the system must tolerate.
	ControlLosses int       `json:"control-losses"`
	Times         RoleTimes `json:"times"`
	Retry         RoleRetry `json:"retry"`
	Quota         RoleQuota `json:"quota"`
	// StoreOvershoot is the amount by which the weight store's rate limit may be
	// exceeded within StoreWindow.
	StoreOvershoot float64                `json:"store-overshoot"`
	StoreWindow    laburnumlever.Duration `json:"store-window"`
	// ChecksFencing reports whether engines refuse an outdated fencing number.
	ChecksFencing bool `json:"checks-fencing"`
	// RememberServers has a control VM save which backend servers it knows, for gateways that start together with it.
	RememberServers bool `json:"remember-servers"`
	// SharedMachines switches on decisions for services whose backend servers share their machines with others.
	SharedMachines RoleSharedMachines `json:"shared-machines"`
	Log            Log                `json:"log"`
}

// RoleListen holds the addresses (IP and port) that the process listens on; empty for
// listeners that its role does not have.
type RoleListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	// Peers is the address to which a proxy or address translation forwards peer
	// connections; empty if other VMs connect directly to the peer port.
	Peers string `json:"peers"`
}

// RoleTimes holds the times that the platform guarantees or requires.
type RoleTimes struct {
	Heartbeat laburnumlever.Duration `json:"heartbeat"`
	// Grace is the time until a process is killed after the request to stop.
	Grace laburnumlever.Duration `json:"grace"`
	// Lease is the minimum time between two successive owners of the engines.
	Lease laburnumlever.Duration `json:"lease"`
	// CatchUp is the time within which a new or returning VM must be fully in service.
	CatchUp laburnumlever.Duration `json:"catch-up"`
	// Apply is the time within which a change must take effect on all VMs.
	Apply laburnumlever.Duration `json:"apply"`
	// Revoke is the time after which no VM may run a request with a revoked key, even if it is cut off; 0 if
	// only VMs that can be reached must keep to Apply.
	Revoke laburnumlever.Duration `json:"revoke"`
}

// RoleRetry is the retry budget over all gateways.
type RoleRetry struct {
	Ratio  float64                `json:"ratio"`
	Slack  float64                `json:"slack"`
	Window laburnumlever.Duration `json:"window"`
}

// RoleQuota holds the terms on which the quotas of client accounts are checked over all gateways.
type RoleQuota struct {
	Overshoot float64                `json:"overshoot"`
	Slack     float64                `json:"slack"`
	Window    laburnumlever.Duration `json:"window"`
}

// Terms returns the terms as the parts that keep quotas use them.
func (q RoleQuota) Terms() laburnumlever.QuotaTerms {
	return laburnumlever.QuotaTerms{Window: time.Duration(q.Window), Overshoot: q.Overshoot, Slack: q.Slack}
}

// RoleSharedMachines switches on decisions for services whose backend servers tell their pace, since they share their machines
// with others. All are off by default; services whose servers tell none are served as if they were off.
type RoleSharedMachines struct {
	// Looks asks a model engine for its load and pace before a prompt is sent there, if they are not known.
	Looks bool `json:"looks"`
	// ByUrgency gives slots that are short to the most urgent requests of all gateways.
	ByUrgency bool `json:"by-urgency"`
	// KnownReturns tells refused callers when a slot or a model is expected for them.
	KnownReturns bool `json:"known-returns"`
}

// Decisions returns the decisions that are switched on.
func (s RoleSharedMachines) Decisions() laburnumlever.SharedMachines {
	return laburnumlever.SharedMachines{Looks: s.Looks, ByUrgency: s.ByUrgency, KnownReturns: s.KnownReturns}
}

// LoadRoleSettings reads the settings of a gateway or control VM. The error is a
// *laburnumlever.SettingsInvalidError that lists all faults.
func LoadRoleSettings(path string) (RoleSettings, error) {
	doc := readDocument(path)
	settings := RoleSettings{Log: Log{Level: defaultLevel}}
	doc.decode(&settings)
	if doc.root.Value != nil {
		checkRole(doc, settings)
	}
	if len(doc.faults) > 0 {
		sortFaults(doc.faults)
		return RoleSettings{}, &laburnumlever.SettingsInvalidError{Faults: doc.faults}
	}
	return settings, nil
}

func checkRole(d *document, s RoleSettings) {
	for _, a := range []struct{ path, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.control", s.Listen.Control},
	} {
		if a.address != "" {
			d.checkAddress(a.path, a.address, true)
		}
	}
	for i, seed := range s.Seeds {
		d.checkAddress(fmt.Sprintf("seeds[%d]", i), seed, false)
	}
	if len(s.Seeds) == 0 {
		d.addUnreported("seeds", "is empty", "the control address of at least one control VM")
	}
	if s.PeerPort <= 0 || s.PeerPort > 1<<16-1 {
		d.addUnreported("peer-port", strconv.Itoa(s.PeerPort)+" is not a port", "a port that is free on all VMs")
	}
	if s.Listen.Control != "" && s.DataFolder == "" {
		d.addUnreported("data-folder", "is missing on a control VM", "the folder that holds the replica of the log")
	}
	if !isLevel(s.Log.Level) {
		d.addUnreported("log.level", fmt.Sprintf("%q is not a level", s.Log.Level), levelWant)
	}
	if s.Times.Heartbeat <= 0 {
		d.addUnreported("times.heartbeat", "is not above 0s", "the period of the backend servers' announcements")
	}
}

// PeerAddress returns the address at which other VMs reach this one.
func (s RoleSettings) PeerAddress() string { return peerAddress(s.listenIP(), s.PeerPort) }

// PeerListen returns the address on which the VM listens for other VMs.
func (s RoleSettings) PeerListen() string {
	if s.Listen.Peers != "" {
		return s.Listen.Peers
	}
	return s.PeerAddress()
}

func (s RoleSettings) listenIP() string {
	for _, address := range []string{s.Listen.Control, s.Listen.Callers, s.Listen.Ready} {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			return parsed.Addr().String()
		}
	}
	return ""
}

func peerAddress(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// MetricsAddress returns the address of the metrics endpoint; empty if disabled.
func (s RoleSettings) MetricsAddress() string {
	if s.MetricsPort == 0 {
		return ""
	}
	return peerAddress(s.listenIP(), s.MetricsPort)
}

// SeedVoters returns the seeds as voters, with the IP address as the ID of a control VM.
func (s RoleSettings) SeedVoters() []laburnumlever.Voter {
	var voters []laburnumlever.Voter
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // LoadRoleSettings refuses such a file
		}
		ip := parsed.Addr().String()
		voters = append(voters, laburnumlever.Voter{VM: laburnumlever.VMID(ip), PeerAddress: peerAddress(ip, s.PeerPort)})
	}
	return voters
}
