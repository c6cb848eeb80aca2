package declare

import (
	"net/netip"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
)

type hostPorts struct {
	data, control int
}

func readHostPorts(f *inifile.Fields) hostPorts {
	port := inifile.Int(1, maxPort)
	return hostPorts{
		data:    inifile.Get(f, "data-port", port, 0),
		control: inifile.Get(f, "control-port", port, 0),
	}
}

// readZone parses the plan of one availability zone. The keys of [hosts] are
// the names of hosts, its values their IP addresses. [host <name>] sets the ports
// and the state of one host.
func (r *reader) readZone(name string, f *inifile.File) {
	plan := config.ZonePlan{Zone: name}
	hosts := sectionOrEmpty(f, sectionHosts)
	var declared []string
	for _, v := range hosts.Values {
		plan.Hosts = append(plan.Hosts, r.readHost(name, f, hosts, v))
		declared = append(declared, sectionHost+" "+v.Key)
	}
	for _, s := range f.Sections {
		if s != hosts && !slices.Contains(declared, s.Name) {
			r.reportUnknownSection(s, append(declared, sectionHosts)...)
		}
	}
	slices.SortFunc(plan.Hosts, func(a, b config.Host) int { return strings.Compare(a.Name, b.Name) })
	r.set.Zones = append(r.set.Zones, plan)
}

func (r *reader) readHost(zone string, f *inifile.File, hosts *inifile.Section, v inifile.Value) config.Host {
	r.hostNames = r.addName(r.hostNames, v.Key, hosts.Problem(v.Key, ""))
	ip := inifile.Require(inifile.NewFields(&r.problems, hosts), v.Key, inifile.IP())
	overrides := sectionOrEmpty(f, sectionHost+" "+v.Key)
	fields := inifile.NewFields(&r.problems, overrides, r.template.host)
	port := inifile.Int(1, maxPort)
	requireInt(fields, "data-port", port)
	requireInt(fields, "control-port", port)
	ports := readHostPorts(fields)
	h := config.Host{
		Name:    v.Key,
		Zone:    zone,
		Data:    netip.AddrPortFrom(ip, uint16(ports.data)),
		Control: netip.AddrPortFrom(ip, uint16(ports.control)),
	}
	if inifile.Get(fields, "state", inifile.OneOf("active", "stopping"), "active") == "stopping" {
		h.State = config.HostStopping
	}
	fields.ReportOwnUnknown()
	r.recordAddress(hosts, v.Key, h.Data, "host "+v.Key)
	r.recordAddress(hosts, v.Key, h.Control, "control of host "+v.Key)
	return h
}
