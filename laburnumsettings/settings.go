package laburnumsettings

import "laburnumlever"

// Settings are all that one process is told at its start.
type Settings struct {
	VM     laburnumlever.VMID       `json:"vm"`
	Zone   laburnumlever.ZoneName   `json:"zone"`
	Region laburnumlever.RegionName `json:"region"`
	Listen Listen                   `json:"listen"`
	// Advertise holds the addresses that others are told where they differ from
	// those listened on, as behind an address translation.
	Advertise Advertise `json:"advertise,omitzero"`
	// Seeds are peer addresses of some other entry VMs.
	Seeds []string `json:"seeds"`
	// Voters are the VMs that start the replicated log the first time; later
	// changes are the log's own.
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

// Advertise holds addresses (IP and port); an empty one means the listener's.
type Advertise struct {
	Peers string `json:"peers"`
}

// TLS names the PEM files that secure the links between VMs, both ways: a VM whose
// certificate none of the authorities signed is turned away. Either all are named or
// none. They are read again when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authorities string `json:"authorities"`
}

// Log sets what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Shutdown bounds the stages of a graceful end.
type Shutdown struct {
	// Grace is how long the readiness check fails before new work is refused.
	Grace laburnumlever.Duration `json:"grace"`
	// Limit is how long requests in flight may take after that.
	Limit laburnumlever.Duration `json:"limit"`
}
