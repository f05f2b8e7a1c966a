package codec

import (
	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// EncodeCommand encodes a command for the log. The error is of kind
// fault.Invalid, or fault.TooLarge above MaxCommandBytes.
func EncodeCommand(c replicated.Command) ([]byte, error) {
	m := new(api.LogCommand)
	switch c := c.(type) {
	case replicated.ChangeTable:
		m.Body = &api.LogCommand_ChangeTable{ChangeTable: fromChange(c.Change)}
	case replicated.BeginWork:
		m.Body = &api.LogCommand_Begin{Begin: fromBegin(c.Begin)}
	case replicated.FinishWork:
		m.Body = &api.LogCommand_Finish{Finish: fromFinish(c.Finish)}
	case replicated.CancelWork:
		m.Body = &api.LogCommand_Cancel{Cancel: &api.LogCancel{Key: fromKey(c.Key), Attempt: c.Attempt, AtMs: c.At}}
	case replicated.AbandonWork:
		m.Body = &api.LogCommand_Abandon{Abandon: &api.LogAbandon{Entry: c.Entry, Incarnation: c.Incarnation, AtMs: c.At}}
	case replicated.AcquireAuthority:
		m.Body = &api.LogCommand_Acquire{Acquire: fromAcquire(c.Acquire)}
	case replicated.ReleaseAuthority:
		m.Body = &api.LogCommand_Release{Release: &api.LogRelease{Server: c.Server, Holder: fromHolder(c.Holder), AtMs: c.At}}
	case replicated.ConfirmDead:
		m.Body = &api.LogCommand_ConfirmDead{ConfirmDead: fromConfirmDead(c.ConfirmDead)}
	case replicated.RecordOrder:
		m.Body = &api.LogCommand_RecordOrder{RecordOrder: fromRecordOrder(c.RecordOrder)}
	case replicated.SettleOrder:
		m.Body = &api.LogCommand_SettleOrder{SettleOrder: fromSettleOrder(c.SettleOrder)}
	case replicated.SetDrain:
		m.Body = &api.LogCommand_SetDrain{SetDrain: &api.LogSetDrain{Id: c.ID, Draining: c.Draining, By: c.Operator, AtMs: c.At}}
	case replicated.SetFencing:
		m.Body = &api.LogCommand_SetFencing{SetFencing: &api.LogSetFencing{Server: c.Server, Checks: c.Checks, By: c.Operator, AtMs: c.At}}
	case replicated.Tick:
		m.Body = &api.LogCommand_Tick{Tick: &api.LogTick{AtMs: c.At}}
	case replicated.ReplaceRoutes:
		data, err := fromRoutes(c.Document)
		if err != nil {
			return nil, err
		}
		m.Body = &api.LogCommand_ReplaceRoutes{ReplaceRoutes: &api.LogReplaceRoutes{Routes: data, AtMs: c.At}}
	case replicated.QuarantineSegments:
		body := &api.LogQuarantineSegments{Segments: fromSegments(c.Segments), AtMs: c.At}
		m.Body = &api.LogCommand_QuarantineSegments{QuarantineSegments: body}
	case replicated.ReleaseSegments:
		body := &api.LogReleaseSegments{Segments: fromSegments(c.Segments), AtMs: c.At}
		m.Body = &api.LogCommand_ReleaseSegments{ReleaseSegments: body}
	case replicated.RecordFleet:
		body := &api.LogRecordFleet{Servers: fromRecordedServers(c.Servers), Removed: c.Removed, AtMs: c.At}
		m.Body = &api.LogCommand_RecordFleet{RecordFleet: body}
	case replicated.ReadRoutes:
		m.Body = &api.LogCommand_ReadRoutes{ReadRoutes: &api.LogReadRoutes{AtMs: c.At}}
	default:
		return nil, fault.New(fault.Invalid, part, "%T is not a command", c)
	}
	return marshal(m, MaxCommandBytes)
}

// DecodeCommand decodes a command from the log. The error is of kind
// fault.Corrupt.
func DecodeCommand(data []byte) (replicated.Command, error) {
	m := new(api.LogCommand)
	if err := unmarshal(data, m, MaxCommandBytes); err != nil {
		return nil, err
	}
	switch b := m.Body.(type) {
	case *api.LogCommand_ChangeTable:
		return replicated.ChangeTable{Change: toChange(b.ChangeTable)}, nil
	case *api.LogCommand_Begin:
		begin, err := toBegin(b.Begin)
		return replicated.BeginWork{Begin: begin}, err
	case *api.LogCommand_Finish:
		return replicated.FinishWork{Finish: toFinish(b.Finish)}, nil
	case *api.LogCommand_Cancel:
		return replicated.CancelWork{Cancel: ledger.Cancel{Key: toKey(b.Cancel.Key), Attempt: b.Cancel.Attempt, At: b.Cancel.AtMs}}, nil
	case *api.LogCommand_Abandon:
		return replicated.AbandonWork{Abandon: ledger.Abandon{Entry: b.Abandon.Entry, Incarnation: b.Abandon.Incarnation, At: b.Abandon.AtMs}}, nil
	case *api.LogCommand_Acquire:
		return replicated.AcquireAuthority{Acquire: toAcquire(b.Acquire)}, nil
	case *api.LogCommand_Release:
		return replicated.ReleaseAuthority{Release: authority.Release{Server: b.Release.Server, Holder: toHolder(b.Release.Holder), At: b.Release.AtMs}}, nil
	case *api.LogCommand_ConfirmDead:
		return replicated.ConfirmDead{ConfirmDead: toConfirmDead(b.ConfirmDead)}, nil
	case *api.LogCommand_RecordOrder:
		order, err := toRecordOrder(b.RecordOrder)
		return replicated.RecordOrder{RecordOrder: order}, err
	case *api.LogCommand_SettleOrder:
		settle, err := toSettleOrder(b.SettleOrder)
		return replicated.SettleOrder{SettleOrder: settle}, err
	case *api.LogCommand_SetDrain:
		return replicated.SetDrain{ID: b.SetDrain.Id, Draining: b.SetDrain.Draining, Operator: b.SetDrain.By, At: b.SetDrain.AtMs}, nil
	case *api.LogCommand_SetFencing:
		return replicated.SetFencing{Server: b.SetFencing.Server, Checks: b.SetFencing.Checks, Operator: b.SetFencing.By, At: b.SetFencing.AtMs}, nil
	case *api.LogCommand_Tick:
		return replicated.Tick{At: b.Tick.AtMs}, nil
	case *api.LogCommand_ReplaceRoutes:
		document, err := toRoutes(b.ReplaceRoutes.Routes)
		if document == nil && err == nil {
			return nil, corrupt("a replacement without routes")
		}
		return replicated.ReplaceRoutes{Document: document, At: b.ReplaceRoutes.AtMs}, err
	case *api.LogCommand_QuarantineSegments:
		return replicated.QuarantineSegments{Segments: toSegments(b.QuarantineSegments.Segments), At: b.QuarantineSegments.AtMs}, nil
	case *api.LogCommand_ReleaseSegments:
		return replicated.ReleaseSegments{Segments: toSegments(b.ReleaseSegments.Segments), At: b.ReleaseSegments.AtMs}, nil
	case *api.LogCommand_RecordFleet:
		servers, err := toRecordedServers(b.RecordFleet.Servers)
		return replicated.RecordFleet{Servers: servers, Removed: b.RecordFleet.Removed, At: b.RecordFleet.AtMs}, err
	case *api.LogCommand_ReadRoutes:
		return replicated.ReadRoutes{At: b.ReadRoutes.AtMs}, nil
	default:
		return nil, corrupt("a command without a body")
	}
}

func fromChange(c table.Change) *api.LogChangeTable {
	return &api.LogChangeTable{Id: c.ID, Base: c.Base, Classes: fromClasses(c.Classes), Author: c.Author, AtMs: c.At}
}

func toChange(m *api.LogChangeTable) table.Change {
	return table.Change{ID: m.Id, Base: m.Base, Classes: toClasses(m.Classes), Author: m.Author, At: m.AtMs}
}
