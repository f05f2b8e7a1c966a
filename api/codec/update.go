package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// encodedUpdates remembers the updates encoded last: most lease holders have one of a few
// views in force, and those with the same one are sent the same update.
var encodedUpdates = newEncodings[view.Update](16)

// fromUpdate returns the encoded update; nil for nil. Ages of reports are as of
// the first call.
func fromUpdate(u *view.Update) ([]byte, error) {
	if u == nil {
		return nil, nil
	}
	return encodedUpdates.of(u, func() ([]byte, error) { return encodeUpdate(u) })
}

func encodeUpdate(u *view.Update) ([]byte, error) {
	document, err := fromRoutes(u.Routes)
	if err != nil {
		return nil, err
	}
	delta, err := fromRoutesDelta(u.RoutesDelta)
	if err != nil {
		return nil, err
	}
	out := &api.ViewUpdate{
		Term: u.Term, Seq: u.Seq, Base: u.Base,
		RemovedServers: u.RemovedServers, RemovedVms: u.RemovedVMs,
		Routes: document, RoutesDelta: delta, Partial: u.Partial,
		ServerLoads: fromServerLoads(u.ServerLoads), VmLoads: fromVMLoads(u.VMLoads),
		Segments: fromSegmentList(u.Segments),
	}
	if u.Table != nil {
		out.HasTable = true
		out.TableVersion = u.Table.Version
		out.Classes = fromClasses(u.Table.Classes)
	}
	for _, s := range u.Servers {
		out.Servers = append(out.Servers, fromServer(s))
	}
	for _, vm := range u.VMs {
		out.Vms = append(out.Vms, fromVM(vm))
	}
	return marshal(out, maxFrameBytes)
}

// toUpdate returns the update of encoded bytes; nil for none.
func toUpdate(data []byte) (*view.Update, error) {
	if len(data) == 0 {
		return nil, nil
	}
	p := new(api.ViewUpdate)
	// Unlike a log entry, an update may have fields of a newer release.
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, part, "can't decode an update")
	}
	document, err := toRoutes(p.Routes)
	if err != nil {
		return nil, err
	}
	delta, err := toRoutesDelta(p.RoutesDelta)
	if err != nil {
		return nil, err
	}
	out := &view.Update{
		Term: p.Term, Seq: p.Seq, Base: p.Base,
		RemovedServers: p.RemovedServers, RemovedVMs: p.RemovedVms,
		Routes: document, RoutesDelta: delta, Partial: p.Partial,
		Segments: toSegmentList(p.Segments),
	}
	if p.HasTable {
		out.Table = &table.Table{Version: p.TableVersion, Classes: toClasses(p.Classes)}
	}
	for _, s := range p.Servers {
		out.Servers = append(out.Servers, toServer(s))
	}
	for _, vm := range p.Vms {
		out.VMs = append(out.VMs, toVM(vm))
	}
	if out.ServerLoads, err = toServerLoads(p.ServerLoads); err != nil {
		return nil, err
	}
	out.VMLoads, err = toVMLoads(p.VmLoads)
	return out, err
}

func fromServerLoads(loads []view.ServerLoad) *api.ServerLoads {
	if len(loads) == 0 {
		return nil
	}
	out := &api.ServerLoads{}
	for _, l := range loads {
		age := time.Duration(0)
		if !l.Load.AnnouncedAt.IsZero() {
			age = time.Since(l.Load.AnnouncedAt)
		}
		out.At = append(out.At, uint32(l.Index))
		out.Running = append(out.Running, uint64(l.Load.Running))
		out.Waiting = append(out.Waiting, uint64(l.Load.Waiting))
		out.Tokens = append(out.Tokens, uint64(l.Load.Tokens))
		out.CacheUsed = append(out.CacheUsed, float32(l.Load.CacheUsed))
		out.AgeMs = append(out.AgeMs, uint64(max(0, age.Milliseconds())))
	}
	return out
}

func toServerLoads(p *api.ServerLoads) ([]view.ServerLoad, error) {
	if p == nil {
		return nil, nil
	}
	n := len(p.At)
	if len(p.Running) != n || len(p.Waiting) != n || len(p.Tokens) != n || len(p.CacheUsed) != n || len(p.AgeMs) != n {
		return nil, fault.New(fault.Invalid, part, "lists of loads differ in length")
	}
	out := make([]view.ServerLoad, 0, n)
	now := time.Now()
	for i, at := range p.At {
		out = append(out, view.ServerLoad{Index: int(at), Load: fleet.Load{
			Running:     int(p.Running[i]),
			Waiting:     int(p.Waiting[i]),
			Tokens:      int(p.Tokens[i]),
			CacheUsed:   float64(p.CacheUsed[i]),
			AnnouncedAt: now.Add(-time.Duration(p.AgeMs[i]) * time.Millisecond),
		}})
	}
	return out, nil
}

func fromVMLoads(loads []view.VMLoad) *api.VMLoads {
	if len(loads) == 0 {
		return nil
	}
	out := &api.VMLoads{}
	for _, l := range loads {
		out.At = append(out.At, uint32(l.Index))
		out.InFlight = append(out.InFlight, uint64(l.InFlight))
	}
	return out
}

func toVMLoads(p *api.VMLoads) ([]view.VMLoad, error) {
	if p == nil {
		return nil, nil
	}
	if len(p.InFlight) != len(p.At) {
		return nil, fault.New(fault.Invalid, part, "lists of loads differ in length")
	}
	out := make([]view.VMLoad, 0, len(p.At))
	for i, at := range p.At {
		out = append(out, view.VMLoad{Index: int(at), InFlight: int(p.InFlight[i])})
	}
	return out, nil
}
