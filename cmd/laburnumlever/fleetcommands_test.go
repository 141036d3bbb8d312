package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"laburnumlever"
	"laburnumlever/laburnumfleet"
	"laburnumlever/laburnumoperator"
	"laburnumlever/laburnumsettings"
	"laburnumlever/laburnumstandin"
)

// fleetCommands returns the commands that failure sessions have in addition to scriptCommands:
//
//	vms NAME=ZONE[,disk]...  writes NAME.jsonc for each VM and starts a link in front of
//	                         its peers listener; the VMs with a disk are the voters
//	cut FROM TO              freezes the connections from the VMs FROM (a,b) to the VMs TO,
//	                         new and existing ones, without resetting them
//	heal                     undoes all cuts
//	lose NAME                deletes the VM's data folder
//	leader PREFIX VM...      waits until one of the VMs leads the log; sets PREFIX to its
//	                         name, PREFIX_operators to its address, PREFIXother to the next VM
//	caughtup VM VM...        waits until the first VM is a voter that replaces no other any more
//	                         and has applied all entries that the leader among the VMs has applied
//	owner PREFIX VM...       like leader, for a VM that reports to own its zone
func fleetCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"vms": scriptVMs, "cut": scriptCut, "heal": scriptHeal, "lose": scriptLose, "leader": scriptLeader, "owner": scriptOwner,
		"caughtup": scriptCaughtUp,
	}
}

// vm is a VM of a session; each has its own loopback address, by which links identify it.
type vm struct {
	name, zone, ip, listen, link string
	disk                         bool
	cutFrom                      []string
}

func scriptVMs(ts *testscript.TestScript, _ bool, args []string) {
	all := ts.Value(processKey{}).(*processes)
	addresses, err := laburnumfleet.ReservePorts(context.Background(), len(args))
	ts.Check(err)
	// Each session has its own loopback network, so that neither another session nor an
	// outgoing connection from a VM's address takes a port before its VM listens on it.
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for i, arg := range args {
		name, rest, _ := strings.Cut(arg, "=")
		zone, disk, _ := strings.Cut(rest, ",")
		_, port, err := net.SplitHostPort(addresses[i])
		ts.Check(err)
		v := &vm{name: name, zone: zone, ip: fmt.Sprintf("%s.%d", network, 10+i), disk: disk == "disk"}
		v.listen = net.JoinHostPort(v.ip, port)
		scriptStart(ts, false, []string{name + "link", "stand-in", "link", "--to", v.listen})
		v.link = ts.Getenv(name + "link_address")
		all.vms = append(all.vms, v)
	}
	for _, v := range all.vms {
		text, err := json.MarshalIndent(all.settingsOf(v), "", "  ")
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(v.name+".jsonc"), text, 0o600))
	}
	text, err := os.ReadFile(filepath.Join(all.common, "carpets.jsonc"))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("carpets.jsonc"), text, 0o600))
}

func (p *processes) settingsOf(v *vm) laburnumsettings.Settings {
	s := laburnumsettings.Default()
	s.VM, s.Zone = laburnumlever.VMID(v.name), laburnumlever.ZoneName(v.zone)
	s.Listen = laburnumsettings.Listen{Callers: anyPort, Operators: anyPort, Backends: anyPort, Peers: v.listen}
	s.Advertise.Peers = v.link
	s.Shutdown.Grace = laburnumlever.Duration(100 * 1e6)
	for _, other := range p.vms {
		if other.disk {
			s.Voters = append(s.Voters, laburnumlever.Voter{VM: laburnumlever.VMID(other.name), PeerAddress: other.link})
		}
		if other != v {
			s.Seeds = append(s.Seeds, other.link)
		}
	}
	if v.disk {
		s.DataFolder = "data-" + v.name
	}
	return s
}

func (p *processes) named(names string) []*vm {
	var found []*vm
	for _, v := range p.vms {
		if slices.Contains(strings.Split(names, ","), v.name) {
			found = append(found, v)
		}
	}
	return found
}

func scriptCut(ts *testscript.TestScript, _ bool, args []string) {
	all := ts.Value(processKey{}).(*processes)
	for _, to := range all.named(args[1]) {
		for _, from := range all.named(args[0]) {
			to.cutFrom = append(to.cutFrom, from.ip)
		}
		setLink(ts, to, laburnumstandin.LinkState{Mode: laburnumstandin.LinkFrozen, From: to.cutFrom})
	}
}

func scriptHeal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, v := range ts.Value(processKey{}).(*processes).vms {
		v.cutFrom = nil
		setLink(ts, v, laburnumstandin.LinkState{})
	}
}

func setLink(ts *testscript.TestScript, v *vm, state laburnumstandin.LinkState) {
	text, err := json.Marshal(state)
	ts.Check(err)
	url := "http://" + ts.Getenv(v.name+"link_control") + "/link"
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(string(text)))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("link of %s: %s", v.name, resp.Status)
	}
}

func scriptLose(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.RemoveAll(ts.MkAbs("data-" + args[0])))
}

// scriptLeader asks the VMs in turn; only the role that a running VM reports for itself counts.
func scriptLeader(ts *testscript.TestScript, _ bool, args []string) {
	awaitRole(ts, args[0], args[1:], func(s laburnumlever.Status) bool { return s.Voter.Role == "leader" })
}

func scriptOwner(ts *testscript.TestScript, _ bool, args []string) {
	awaitRole(ts, args[0], args[1:], func(s laburnumlever.Status) bool {
		return s.ZoneOwners[s.View.Self.Zone] == s.View.Self.ID
	})
}

// scriptCaughtUp compares applied log indexes: the catalogue's revision also arrives by gossip,
// and a replica on an older copy of its folder reports to be a follower until the leader notices.
func scriptCaughtUp(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		own, ownErr := statusOf(ts, args[0])
		votes := own.Voter.Role == "follower" || own.Voter.Role == "leader"
		if ownErr != nil || !votes || replaces(own) {
			continue
		}
		for _, name := range args[1:] {
			s, err := statusOf(ts, name)
			if err == nil && s.Voter.Role == "leader" && own.Voter.Applied >= s.Voter.Applied {
				return
			}
		}
	}
	ts.Fatalf("%s has not caught up", args[0])
}

// replaces reports whether a VM is among its voters twice: as long as its replica replaces one without its disk, the latter counts in one
// of two majorities as well, so that no further VM may be lost.
func replaces(s laburnumlever.Status) bool {
	n := 0
	for _, voter := range s.Voter.Voters {
		if voter.VM == s.View.Self.ID {
			n++
		}
	}
	return n > 1
}

func statusOf(ts *testscript.TestScript, name string) (laburnumlever.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return laburnumoperator.NewClient(ts.Getenv(name + "_operators")).Status(ctx)
}

func awaitRole(ts *testscript.TestScript, prefix string, names []string, has func(laburnumlever.Status) bool) {
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		for i, name := range names {
			status, err := statusOf(ts, name)
			if err != nil || !has(status) {
				continue
			}
			setAlias(ts, prefix, name)
			setAlias(ts, prefix+"other", names[(i+1)%len(names)])
			return
		}
	}
	ts.Fatalf("none of %v has the role", names)
}

// setAlias also sets the variables of name under another prefix, now and whenever the process
// is started again.
func setAlias(ts *testscript.TestScript, prefix, name string) {
	ts.Setenv(prefix, name)
	ts.Value(processKey{}).(*processes).aliases[prefix] = name
	for _, key := range []string{"callers", "operators", "backends"} {
		ts.Setenv(prefix+"_"+key, ts.Getenv(name+"_"+key))
	}
}
