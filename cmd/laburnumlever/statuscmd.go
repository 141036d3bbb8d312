package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"laburnumlever"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of a VM and its view of the fleet",
		Description: "Shows the revision, the VMs, the backend servers with their models, and the zone owners.\n" +
			"For a gateway or control VM, queried at its metrics address, shows the director and counts of VMs,\n" +
			"backend servers and models; for a gateway also readiness and requests, for a control VM the log.\n\n" +
			"Example: laburnumlever status --vm 10.0.1.7:8081\n\n" + exitCodesText,
		Flags:        []cli.Flag{vmFlag(), timeoutFlag(), outputFlag()},
		OnUsageError: onUsageError,
		Action: func(c *cli.Context) error {
			ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
			defer cancel()
			status, err := clientOf(c).Status(ctx)
			if err != nil {
				return err
			}
			return report(c, status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

func printStatus(w io.Writer, s laburnumlever.Status) {
	if s.Role != nil {
		printRoleStatus(w, *s.Role, s.Voter)
		return
	}
	ready := "ready"
	if s.View.NotReady != "" {
		ready = "not ready: " + s.View.NotReady
	}
	printf(w, "VM %s in %s: %s\n", s.View.Self.ID, s.View.Self.Zone, ready)
	printf(w, "catalogue: revision %d, %d models, %d services\n", s.View.Catalogue.Revision,
		len(s.View.Catalogue.Models), len(s.View.Catalogue.Services))
	printf(w, "log: %s, leader %s, term %d, applied %d\n", s.Voter.Role, s.Voter.Leader, s.Voter.Term, s.Voter.Applied)
	if len(s.Voter.WaitsFor) > 0 {
		printf(w, "log: waits for %v to register this start\n", s.Voter.WaitsFor)
	}
	for _, vm := range s.View.VMs {
		printf(w, "VM %s in %s: %s\n", vm.ID, vm.Zone, vm.State)
	}
	for _, b := range s.View.Backends {
		printBackend(w, b)
	}
	for _, zone := range slices.Sorted(maps.Keys(s.ZoneOwners)) {
		printf(w, "zone %s: owner %s\n", zone, s.ZoneOwners[zone])
	}
	printf(w, "moves: %d\n", s.Moves)
}

func printRoleStatus(w io.Writer, s laburnumlever.RoleStatus, log laburnumlever.VoterStatus) {
	printf(w, "%s VM %s in %s\n", s.Role, s.VM, s.Zone)
	if s.Role == "gateway" {
		printf(w, "ready: %t, %d in flight, %d queued, %d bytes held for slow callers\n", s.Ready, s.InFlight, s.Queued, s.HeldBytes)
	} else {
		printf(w, "log: %s, leader %s, term %d, applied %d, %d voters\n", log.Role, orNone(string(log.Leader)), log.Term, log.Applied, len(log.Voters))
	}
	printf(w, "director: %s\n", orNone(s.Director))
	printf(w, "routes: version %d\n", s.RoutesVersion)
	if k := s.Keys; k != nil {
		accepted := "accepted"
		if !k.Accepted {
			accepted = "refused"
		}
		printf(w, "keys: %s, %d of %d accounts, routes known to be the newest %s ago\n", accepted, k.Keys, k.Accounts, time.Duration(k.Age).Round(time.Millisecond))
	}
	printRefusals(w, s.Refusals)
	printf(w, "gateways: %d\n", s.Gateways)
	if s.Controls > 0 {
		printf(w, "control VMs: %d\n", s.Controls)
	}
	for _, a := range s.Accounts {
		printf(w, "account %s: %.0f of %.0f a second, %.0f reserved, %d refused, keys %v\n", a.Account, a.Used, a.Rate, a.Reserved, a.Refused, a.Keys)
	}
	for _, p := range s.Parts {
		printf(w, "part %s of %s: refused, %d crashes, %d of them in trials, next trial in %s\n", p.Part, p.Service, p.Crashes, p.Trials, time.Duration(p.RetryIn).Round(time.Second))
	}
	for _, l := range s.ConnectionLeases {
		printf(w, "connections leased to %s: %d to %d servers\n", l.Gateway, l.Connections, l.Servers)
	}
	printServices(w, s.Services)
}

func printServices(w io.Writer, services []laburnumlever.ServiceStatus) {
	for _, c := range services {
		printf(w, "service %s: %d serving, %d of them silent, %d leaving\n", c.Service, c.Serving, c.Silent, c.Leaving)
		if c.Resting > 0 {
			printf(w, "  resting: %d\n", c.Resting)
		}
		if n := c.Connections; n != nil {
			printf(w, "  connections to one server: share %d of %d, busiest %d, all used to %d servers, %d leased\n", n.Share, n.Limit, n.Busiest, n.UsedUp, n.Leased)
		}
		for _, software := range slices.Sorted(maps.Keys(c.Software)) {
			printf(w, "  software %s: %d serving\n", software, c.Software[software])
		}
		if c.Models > 0 {
			printf(w, "  models: %d, %d copies, %d absent %v\n", c.Models, c.Copies, c.Absent, c.Examples)
		}
	}
}

func printRefusals(w io.Writer, s *laburnumlever.RefusalsStatus) {
	if s == nil {
		return
	}
	printf(w, "refused in the last %s: %d, %s\n", laburnumlever.RefusalsWindow, s.Requests, reasonsText(s.Reasons))
	for _, a := range s.Accounts {
		printf(w, "  account %s: %d, %s\n", a.Account, a.Requests, reasonsText(a.Reasons))
	}
}

// reasonsText lists reasons with their counts, the most frequent first.
func reasonsText(counts map[laburnumlever.RefusalReason]int) string {
	reasons := slices.SortedFunc(maps.Keys(counts), func(a, b laburnumlever.RefusalReason) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
	var parts []string
	for _, reason := range reasons {
		parts = append(parts, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(parts, ", ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func printBackend(w io.Writer, b laburnumlever.Backend) {
	state := "takes work"
	switch {
	case b.Down:
		state = "down"
	case b.Leaving:
		state = "leaving"
	}
	printf(w, "%s %s in %s: %s, %d in flight, %d queued\n", b.Announcement.Kind, b.Announcement.Backend,
		b.Announcement.Zone, state, b.Report.InFlight, b.Report.Queued)
	for _, l := range b.Report.Loaded {
		loaded := "loading"
		if l.Ready {
			loaded = "ready"
		}
		printf(w, "  model %s %s on %v: %s\n", l.Model, l.Version, l.Accelerators, loaded)
	}
}
