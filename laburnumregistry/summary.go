package laburnumregistry

import "laburnumlever"

// maxExamples is the maximum number of absent models named in a service's summary.
const maxExamples = 5

// Summary returns, for each service, the number of its backend servers by state, the loaded model
// copies, and the models that no serving backend server holds. Tombstones are not counted.
func (t *Table) Summary(services []laburnumlever.RoutedService) []laburnumlever.ServiceStatus {
	counts := make(map[laburnumlever.ServiceName]*laburnumlever.ServiceStatus, len(services))
	held := map[laburnumlever.ServiceName]map[laburnumlever.ModelName]bool{}
	for _, s := range services {
		counts[s.Name] = &laburnumlever.ServiceStatus{Service: s.Name}
		held[s.Name] = map[laburnumlever.ModelName]bool{}
	}
	for _, e := range t.entries {
		h := e.record.Heartbeat
		c := counts[h.Service]
		if c == nil || e.record.Gone {
			continue
		}
		if !e.record.AcceptsRequests() {
			c.Leaving++
			continue
		}
		c.Serving++
		if e.record.Silent {
			c.Silent++
		}
		if h.Software != "" {
			if c.Software == nil {
				c.Software = map[laburnumlever.SoftwareVersion]int{}
			}
			c.Software[h.Software]++
		}
		c.Copies += len(h.Models)
		for _, m := range h.Models {
			held[h.Service][m.Name] = true
		}
	}
	out := make([]laburnumlever.ServiceStatus, 0, len(services))
	for _, s := range services {
		out = append(out, withAbsent(*counts[s.Name], s.Engine, held[s.Name]))
	}
	return out
}

// withAbsent adds the number of models of the class, and of those that are not held, with examples.
func withAbsent(c laburnumlever.ServiceStatus, class *laburnumlever.EngineClass, held map[laburnumlever.ModelName]bool) laburnumlever.ServiceStatus {
	if class == nil {
		return c
	}
	c.Models = len(class.Models)
	for _, m := range class.Models {
		if held[m.Name] {
			continue
		}
		c.Absent++
		if len(c.Examples) < maxExamples {
			c.Examples = append(c.Examples, m.Name)
		}
	}
	return c
}
