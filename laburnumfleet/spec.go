package laburnumfleet

import (
	"path/filepath"

	"laburnumlever"
	"laburnumlever/laburnumsettings"
)

// Spec is the content of a fleet file: the VMs and backend servers of a fleet.
type Spec struct {
	// Catalogue is the path of a file or directory, relative to the fleet file.
	Catalogue string        `json:"catalogue" required:"true"`
	VMs       []VMSpec      `json:"vms" required:"true"`
	Engines   []EngineSpec  `json:"engines"`
	Services  []ServiceSpec `json:"services"`
	// LoadTime is how long the weight store takes for one load; its limits on the rate
	// and on parallel loads come from the catalogue.
	LoadTime laburnumlever.Duration `json:"load-time"`
}

// VMSpec is one entry VM.
type VMSpec struct {
	VM     laburnumlever.VMID       `json:"vm" required:"true"`
	Zone   laburnumlever.ZoneName   `json:"zone" required:"true"`
	Region laburnumlever.RegionName `json:"region"`
	// Disk gives the VM a data folder and makes it a voter.
	Disk bool `json:"disk"`
}

// EngineSpec is a group of identical engines in one availability zone.
type EngineSpec struct {
	// Name is the prefix of the engines' ids, which are numbered from 1.
	Name  string                 `json:"name" required:"true"`
	Zone  laburnumlever.ZoneName `json:"zone" required:"true"`
	Count int                    `json:"count" required:"true"`
	// AcceleratorsMiB is the memory in MiB of each accelerator of one engine.
	AcceleratorsMiB        []int   `json:"accelerators-mib" required:"true"`
	Slots                  int     `json:"slots" required:"true"`
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second" required:"true"`
	TokensPerSecond        float64 `json:"tokens-per-second" required:"true"`
	ChecksFencing          bool    `json:"checks-fencing"`
	CanResume              bool    `json:"can-resume"`
}

// ServiceSpec is a group of identical plain services in one availability zone.
type ServiceSpec struct {
	Service  laburnumlever.ServiceName `json:"service" required:"true"`
	Zone     laburnumlever.ZoneName    `json:"zone" required:"true"`
	Count    int                       `json:"count" required:"true"`
	Slots    int                       `json:"slots" required:"true"`
	CallTime laburnumlever.Duration    `json:"call-time"`
}

// Load reads a fleet file and the catalogue it names. Errors:
// *SpecInvalidError, *laburnumlever.CatalogueInvalidError.
func Load(path string) (Spec, laburnumlever.Catalogue, error) {
	var spec Spec
	if faults := laburnumsettings.ReadFile(path, &spec); len(faults) > 0 {
		return Spec{}, laburnumlever.Catalogue{}, &SpecInvalidError{Faults: faults}
	}
	catalogue, err := laburnumsettings.LoadCatalogue(filepath.Join(filepath.Dir(path), spec.Catalogue))
	return spec, catalogue, err
}

// registriesOf returns the VMs to which a backend server in the zone announces itself:
// the zone's own VMs, or all VMs if the zone has none.
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
