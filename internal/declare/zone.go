package declare

import (
	"net/netip"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
)

// hostPorts are the ports of a host.
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

// readZone reads the plan of one availability zone: [hosts], whose keys are
// the names of hosts and whose values are their IP numbers, and [host <name>].
func (r *reader) readZone(name string, f *inifile.File) {
	plan := config.ZonePlan{Zone: name}
	hosts := section(f, sectionHosts)
	var declared []string
	for _, v := range hosts.Values {
		plan.Hosts = append(plan.Hosts, r.readHost(name, f, hosts, v))
		declared = append(declared, sectionHost+" "+v.Key)
	}
	for _, s := range f.Sections {
		if s != hosts && !slices.Contains(declared, s.Name) {
			r.unknownSection(s, append(declared, sectionHosts)...)
		}
	}
	slices.SortFunc(plan.Hosts, func(a, b config.Host) int { return strings.Compare(a.Name, b.Name) })
	r.set.Zones = append(r.set.Zones, plan)
}

func (r *reader) readHost(zone string, f *inifile.File, hosts *inifile.Section, v inifile.Value) config.Host {
	r.hostNames = r.declareName(r.hostNames, v.Key, hosts.Problem(v.Key, ""))
	ip := inifile.Require(inifile.NewFields(&r.problems, hosts), v.Key, inifile.IP())
	own := section(f, sectionHost+" "+v.Key)
	fields := inifile.NewFields(&r.problems, own, r.template.host)
	port := inifile.Int(1, maxPort)
	needed(fields, "data-port", port)
	needed(fields, "control-port", port)
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
	r.use(hosts, v.Key, h.Data, "host "+v.Key)
	r.use(hosts, v.Key, h.Control, "control of host "+v.Key)
	return h
}
