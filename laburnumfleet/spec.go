package laburnumfleet

import (
	"path/filepath"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

// Spec says what a fleet consists of.
type Spec struct {
	// Catalogue is a file or directory, relative to the fleet file.
	Catalogue string        `json:"catalogue" required:"true"`
	VMs       []VMSpec      `json:"vms" required:"true"`
	Engines   []EngineSpec  `json:"engines"`
	Services  []ServiceSpec `json:"services"`
	// LoadTime is how long one load of weights takes; the store's rate and parallel
	// loads are the catalogue's.
	LoadTime laburnumlever.Duration `json:"load-time"`
}

// VMSpec is one entry VM.
type VMSpec struct {
	VM     laburnumlever.VMID       `json:"vm" required:"true"`
	Zone   laburnumlever.ZoneName   `json:"zone" required:"true"`
	Region laburnumlever.RegionName `json:"region"`
	// Disk gives it a data folder and a vote.
	Disk bool `json:"disk"`
}

// EngineSpec is some engines of one kind in one availability zone.
type EngineSpec struct {
	// Name is the id's start; the engines are numbered from 1.
	Name  string                 `json:"name" required:"true"`
	Zone  laburnumlever.ZoneName `json:"zone" required:"true"`
	Count int                    `json:"count" required:"true"`
	// AcceleratorsMiB is the memory of each accelerator of one engine.
	AcceleratorsMiB        []int   `json:"accelerators-mib" required:"true"`
	Slots                  int     `json:"slots" required:"true"`
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second" required:"true"`
	TokensPerSecond        float64 `json:"tokens-per-second" required:"true"`
	ChecksFencing          bool    `json:"checks-fencing"`
	CanResume              bool    `json:"can-resume"`
}

// ServiceSpec is some plain services of one kind in one availability zone.
type ServiceSpec struct {
	Service  laburnumlever.ServiceName `json:"service" required:"true"`
	Zone     laburnumlever.ZoneName    `json:"zone" required:"true"`
	Count    int                       `json:"count" required:"true"`
	Slots    int                       `json:"slots" required:"true"`
	CallTime laburnumlever.Duration    `json:"call-time"`
}

// Load reads a fleet file and the catalogue that it names. Errors:
// *SpecInvalidError, *laburnumlever.CatalogueInvalidError.
func Load(path string) (Spec, laburnumlever.Catalogue, error) {
	var spec Spec
	if faults := laburnumsettings.ReadFile(path, &spec); len(faults) > 0 {
		return Spec{}, laburnumlever.Catalogue{}, &SpecInvalidError{Faults: faults}
	}
	catalogue, err := laburnumsettings.LoadCatalogue(filepath.Join(filepath.Dir(path), spec.Catalogue))
	return spec, catalogue, err
}

// registriesOf are the VMs that a backend server in the zone announces itself to:
// its own zone's, or all where the zone has none.
func (s Spec) registriesOf(zone laburnumlever.ZoneName) []laburnumlever.VMID {
	var own, all []laburnumlever.VMID
	for _, vm := range s.VMs {
		all = append(all, vm.VM)
		if vm.Zone == zone {
			own = append(own, vm.VM)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}
