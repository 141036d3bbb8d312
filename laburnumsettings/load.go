package laburnumsettings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"laburnumlever"
)

// Defaults of optional settings. All listeners default to loopback, so that a forgotten
// key exposes nothing to a network.
const (
	defaultCallers   = "127.0.0.1:8080"
	defaultOperators = "127.0.0.1:8081"
	defaultBackends  = "127.0.0.1:8082"
	defaultPeers     = "127.0.0.1:8083"
	defaultLevel     = "info"
	defaultGrace     = 5 * time.Second
	defaultLimit     = 30 * time.Second
	addressWant      = `an IP address and port, such as "10.0.1.7:8080"`
	levelWant        = "one of debug, info, warn, error"
)

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		Listen:   Listen{Callers: defaultCallers, Operators: defaultOperators, Backends: defaultBackends, Peers: defaultPeers},
		Log:      Log{Level: defaultLevel},
		Shutdown: Shutdown{Grace: laburnumlever.Duration(defaultGrace), Limit: laburnumlever.Duration(defaultLimit)},
	}
}

// Load reads a settings file and applies it to the defaults. The error is a
// *laburnumlever.SettingsInvalidError that lists all faults.
func Load(path string) (Settings, error) {
	doc := readDocument(path)
	settings := Default()
	doc.decode(&settings)
	if doc.root.Value != nil {
		checkSettings(doc, settings)
	}
	if len(doc.faults) > 0 {
		sortFaults(doc.faults)
		return Settings{}, &laburnumlever.SettingsInvalidError{Faults: doc.faults}
	}
	return settings, nil
}

// ReadFile decodes a file of another kind, such as an experiment, as strictly as a
// settings file and returns all faults. Fields with the tag required:"true" must be
// present.
func ReadFile(path string, into any) []laburnumlever.Fault {
	doc := readDocument(path)
	doc.decode(into)
	sortFaults(doc.faults)
	return doc.faults
}

func checkSettings(d *document, s Settings) {
	d.checkName("vm", string(s.VM))
	d.checkName("zone", string(s.Zone))
	d.checkListen(s.Listen)
	if s.Advertise.Peers != "" {
		d.checkAddress("advertise.peers", s.Advertise.Peers, false)
	}
	for i, seed := range s.Seeds {
		d.checkAddress(fmt.Sprintf("seeds[%d]", i), seed, false)
	}
	d.checkVoters(s)
	d.checkTLS(s.TLS)
	if !isLevel(s.Log.Level) {
		d.addUnreported("log.level", fmt.Sprintf("%q is not a level", s.Log.Level), levelWant)
	}
	if s.Shutdown.Grace < 0 {
		d.addUnreported("shutdown.grace", s.Shutdown.Grace.String()+" is negative", "0s or more")
	}
	if s.Shutdown.Limit <= 0 {
		d.addUnreported("shutdown.limit", s.Shutdown.Limit.String()+" leaves no time for requests in flight", "more than 0s")
	}
}

// isLevel reports whether level is a valid log level.
func isLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}

func (d *document) checkListen(l Listen) {
	addresses := []struct{ path, address string }{
		{"listen.callers", l.Callers},
		{"listen.operators", l.Operators},
		{"listen.backends", l.Backends},
		{"listen.peers", l.Peers},
	}
	users := make(map[string]string)
	for _, a := range addresses {
		d.checkAddress(a.path, a.address, true)
		if strings.HasSuffix(a.address, ":0") {
			continue
		}
		if first, taken := users[a.address]; taken {
			d.addUnreported(a.path, fmt.Sprintf("%q is also that of %s", a.address, first), "an address of its own for each listener")
		}
		users[a.address] = a.path
	}
}

func (d *document) checkTLS(t TLS) {
	if t == (TLS{}) {
		return
	}
	for _, f := range []struct{ path, file string }{
		{"tls.certificate", t.Certificate}, {"tls.key", t.Key}, {"tls.authorities", t.Authorities},
	} {
		if f.file == "" {
			d.addUnreported(f.path, "is missing", "a PEM file, since the others are named")
		}
	}
}

func (d *document) checkVoters(s Settings) {
	if len(s.Voters) == 0 {
		d.addUnreported("voters", "is empty", "at least one VM with a data folder")
	}
	seen := make(map[laburnumlever.VMID]bool)
	self := false
	for i, voter := range s.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		d.checkName(path+".vm", string(voter.VM))
		d.checkAddress(path+".peer-address", voter.PeerAddress, true)
		if seen[voter.VM] {
			d.addUnreported(path+".vm", fmt.Sprintf("%q is listed twice", voter.VM), "each voter once")
		}
		seen[voter.VM] = true
		self = self || voter.VM == s.VM
	}
	if self && s.DataFolder == "" {
		d.addUnreported("data-folder", fmt.Sprintf("is missing, but %q is a voter", s.VM), "the folder that holds the replica of the log")
	}
}

func (d *document) checkName(path, name string) {
	if !isName(name) {
		d.addUnreported(path, fmt.Sprintf("%q is not a name", name), nameWant)
	}
}

// checkAddress accepts IP addresses only, since resolving a host name would require a
// working DNS resolver when the process starts.
func (d *document) checkAddress(path, address string, anyPort bool) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		d.addUnreported(path, fmt.Sprintf("%q is not an address", address), addressWant)
	case parsed.Port() == 0 && !anyPort:
		d.addUnreported(path, fmt.Sprintf("%q has port 0", address), "the port that the other VM listens on")
	}
}

// addUnreported adds a fault unless decoding has already reported the key.
func (d *document) addUnreported(path, problem, want string) {
	if !d.reported(path) {
		d.add(path, problem, want)
	}
}
