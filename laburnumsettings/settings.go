package laburnumsettings

import "laburnumlever"

// Settings holds the settings of an entry VM's process, read at its start.
type Settings struct {
	VM     laburnumlever.VMID       `json:"vm"`
	Zone   laburnumlever.ZoneName   `json:"zone"`
	Region laburnumlever.RegionName `json:"region"`
	Listen Listen                   `json:"listen"`
	// Advertise holds the addresses announced to other VMs where they differ from the
	// listen addresses, such as behind an address translation.
	Advertise Advertise `json:"advertise,omitzero"`
	// Seeds are the peer addresses of some other entry VMs.
	Seeds []string `json:"seeds"`
	// Voters are the VMs that bootstrap the replicated log. Later changes of the voters
	// are recorded in the log itself.
	Voters []laburnumlever.Voter `json:"voters"`
	// DataFolder is empty on a VM without a disk.
	DataFolder string   `json:"data-folder"`
	TLS        TLS      `json:"tls,omitzero"`
	Log        Log      `json:"log"`
	Shutdown   Shutdown `json:"shutdown"`
}

// Listen holds the addresses (IP and port) that the process listens on.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Backends  string `json:"backends"`
	Peers     string `json:"peers"`
}

// Advertise holds addresses (IP and port); empty means the listen address.
type Advertise struct {
	Peers string `json:"peers"`
}

// TLS names the PEM files for mutual TLS between VMs. A VM whose certificate is not signed
// by one of the authorities is refused. Either all files are set or none. They are reloaded
// when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authorities string `json:"authorities"`
}

// Log configures logging.
type Log struct {
	// Level is the minimum level: debug, info, warn or error.
	Level string `json:"level"`
}

// Shutdown holds the durations of a graceful shutdown's phases.
type Shutdown struct {
	// Grace is how long the readiness check fails before new requests are refused.
	Grace laburnumlever.Duration `json:"grace"`
	// Limit is how long requests in flight may take after that before the process ends.
	Limit laburnumlever.Duration `json:"limit"`
}
