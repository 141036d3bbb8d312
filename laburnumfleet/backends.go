package laburnumfleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"laburnumlever"
	"laburnumlever/laburnumstandin"
)

func (f *Fleet) startBackends(ctx context.Context, store string) error {
	for _, spec := range f.spec.Engines {
		for i := range spec.Count {
			if err := f.startEngine(ctx, spec, i, store); err != nil {
				return err
			}
		}
	}
	for _, spec := range f.spec.Services {
		for i := range spec.Count {
			if err := f.startService(ctx, spec, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(ctx context.Context, spec EngineSpec, i int, store string) error {
	ln, err := listen(ctx)
	if err != nil {
		return err
	}
	announcement := announcementOf(fmt.Sprintf("%s-%d", spec.Name, i+1), spec.Zone, ln)
	announcement.Slots = spec.Slots
	announcement.PrefillTokensPerSecond = spec.PrefillTokensPerSecond
	announcement.TokensPerSecond = spec.TokensPerSecond
	announcement.ChecksFencing = spec.ChecksFencing
	announcement.CanResume = spec.CanResume
	for j, size := range spec.AcceleratorsMiB {
		announcement.Accelerators = append(announcement.Accelerators, laburnumlever.Accelerator{
			ID: laburnumlever.AcceleratorID(fmt.Sprintf("a%d", j)), MemoryMiB: size,
		})
	}
	engine := laburnumstandin.NewEngine(announcement,
		laburnumstandin.WithRegistries(f.registries(spec.Zone)), laburnumstandin.WithWeightStore(store))
	f.serveBackend(announcement.Backend, ln, engine)
	return nil
}

func (f *Fleet) startService(ctx context.Context, spec ServiceSpec, i int) error {
	ln, err := listen(ctx)
	if err != nil {
		return err
	}
	announcement := announcementOf(fmt.Sprintf("%s-%s-%d", spec.Service, spec.Zone, i+1), spec.Zone, ln)
	announcement.Slots = spec.Slots
	announcement.Service = spec.Service
	service := laburnumstandin.NewService(announcement,
		laburnumstandin.WithRegistries(f.registries(spec.Zone)),
		laburnumstandin.WithLoadTime(time.Duration(spec.CallTime)))
	f.serveBackend(announcement.Backend, ln, service)
	return nil
}

func announcementOf(id string, zone laburnumlever.ZoneName, ln net.Listener) laburnumlever.Announcement {
	return laburnumlever.Announcement{
		Backend:     laburnumlever.BackendID(id),
		Zone:        zone,
		Address:     ln.Addr().String(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
}

func (f *Fleet) registries(zone laburnumlever.ZoneName) []string {
	ids := f.spec.registriesOf(zone)
	var addresses []string
	for _, vm := range f.vms {
		if slices.Contains(ids, vm.spec.VM) {
			addresses = append(addresses, vm.node.Addresses().Backends)
		}
	}
	return addresses
}

func (f *Fleet) serveBackend(id laburnumlever.BackendID, ln net.Listener, backendServer standIn) {
	b := &backend{id: id, standIn: backendServer, handler: newSlowHandler(backendServer)}
	b.server = &http.Server{Handler: b.handler, ReadHeaderTimeout: headerReadTimeout}
	f.backends = append(f.backends, b)
	go func() { _ = b.server.Serve(ln) }()
	backendServer.Start()
}

// Violations counts the orders that asked an engine for more memory than it has.
func (f *Fleet) Violations() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, b := range f.backends {
		if engine, ok := b.standIn.(*laburnumstandin.Engine); ok {
			count += len(engine.Violations())
		}
	}
	return count
}
