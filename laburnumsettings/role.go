package laburnumsettings

import (
	"fmt"
	"net/netip"
	"strconv"

	"laburnumlever"
)

// Role are the settings of a process that has one part of the system's work: a
// gateway, which serves callers, or a control VM, which keeps the state. Bounds
// that a platform promises or asks for are settings, never constants.
type Role struct {
	// VM names the VM to the others; on a control VM it is its IP address, by
	// which the seeds name it.
	VM     laburnumlever.VMID       `json:"vm" required:"true"`
	Name   string                   `json:"name"`
	Zone   laburnumlever.ZoneName   `json:"zone" required:"true"`
	Region laburnumlever.RegionName `json:"region"`
	Listen RoleListen               `json:"listen"`
	// PeerPort is where VMs of the system reach each other, the same on all.
	PeerPort int `json:"peer-port" required:"true"`
	// MetricsPort serves the metrics; 0 means that nothing does.
	MetricsPort int `json:"metrics-port"`
	// Seeds are control addresses of some control VMs.
	Seeds []string `json:"seeds" required:"true"`
	// FirstStart tells that the whole system starts for the first time, so that
	// the seeds may found the log.
	FirstStart bool `json:"first-start"`
	// DataFolder is empty on a gateway.
	DataFolder string `json:"data-folder"`
	MemoryMB   int    `json:"memory-mb"`
	// Descriptors is how many files and connections the process may have open; 0 where
	// nothing bounds them.
	Descriptors int `json:"descriptors"`
	// ControlLosses is how many control VMs may be lost at once, with their disks.
	ControlLosses int       `json:"control-losses"`
	Times         RoleTimes `json:"times"`
	Retry         RoleRetry `json:"retry"`
	// StoreOvershoot is by how much the weight store's rate may be exceeded
	// within StoreWindow.
	StoreOvershoot float64                `json:"store-overshoot"`
	StoreWindow    laburnumlever.Duration `json:"store-window"`
	// ChecksFencing tells that engines refuse an old fencing number.
	ChecksFencing bool `json:"checks-fencing"`
	Log           Log  `json:"log"`
}

// RoleListen are the addresses that the process listens on; those that it does
// not serve are empty.
type RoleListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	// Peers is empty where the others reach this VM directly, at the peer port; else
	// what stands between them passes connections on to this address.
	Peers string `json:"peers"`
}

// RoleTimes are the times that the platform promises or asks for.
type RoleTimes struct {
	Heartbeat laburnumlever.Duration `json:"heartbeat"`
	// Grace is how long a process lives after it was asked to stop.
	Grace laburnumlever.Duration `json:"grace"`
	// Lease is how long two owners of the engines must be apart.
	Lease laburnumlever.Duration `json:"lease"`
	// CatchUp is how soon a new or returned VM must count again.
	CatchUp laburnumlever.Duration `json:"catch-up"`
	// Apply is how soon a change must be in force everywhere.
	Apply laburnumlever.Duration `json:"apply"`
}

// RoleRetry bounds repeats over all gateways.
type RoleRetry struct {
	Ratio  float64                `json:"ratio"`
	Slack  float64                `json:"slack"`
	Window laburnumlever.Duration `json:"window"`
}

// LoadRole reads the settings of a gateway or control VM. All that is wrong is
// listed in one *laburnumlever.SettingsInvalidError.
func LoadRole(path string) (Role, error) {
	doc := readDocument(path)
	settings := Role{Log: Log{Level: defaultLevel}}
	doc.decode(&settings)
	if doc.root.Value != nil {
		checkRole(doc, settings)
	}
	if len(doc.faults) > 0 {
		sortFaults(doc.faults)
		return Role{}, &laburnumlever.SettingsInvalidError{Faults: doc.faults}
	}
	return settings, nil
}

func checkRole(d *document, s Role) {
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

// PeerAddress is where the others reach the VM.
func (s Role) PeerAddress() string { return peerAddress(s.listenIP(), s.PeerPort) }

// PeerListen is where the VM listens for the others.
func (s Role) PeerListen() string {
	if s.Listen.Peers != "" {
		return s.Listen.Peers
	}
	return s.PeerAddress()
}

func (s Role) listenIP() string {
	for _, address := range []string{s.Listen.Control, s.Listen.Callers, s.Listen.Ready} {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			return parsed.Addr().String()
		}
	}
	return ""
}

func peerAddress(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// MetricsAddress is where the metrics are served; empty for nowhere.
func (s Role) MetricsAddress() string {
	if s.MetricsPort == 0 {
		return ""
	}
	return peerAddress(s.listenIP(), s.MetricsPort)
}

// SeedVoters are the seeds as voters: a control VM is named by its IP address.
func (s Role) SeedVoters() []laburnumlever.Voter {
	var voters []laburnumlever.Voter
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // LoadRole has refused such a file
		}
		ip := parsed.Addr().String()
		voters = append(voters, laburnumlever.Voter{VM: laburnumlever.VMID(ip), PeerAddress: peerAddress(ip, s.PeerPort)})
	}
	return voters
}
