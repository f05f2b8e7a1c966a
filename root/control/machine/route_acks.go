package machine

// maxReportedEntries bounds the entries that one log line names.
const maxReportedEntries = 8

// reportAcknowledgedRoutes reports which entries lack a routing document that is being
// acknowledged.
func (l *leader) reportAcknowledgedRoutes(p proposer, version uint64) {
	report := RoutesAcknowledged{Proposer: p.vm, Version: version, Term: l.term}
	for _, id := range sortedKeys(l.holders) {
		h := l.holders[id]
		if h.vm.Address == "" || !l.m.now.Before(h.expiresAt) {
			continue
		}
		report.Entries++
		if h.confirmed.Routes < version && len(report.Lacking) < maxReportedEntries {
			report.Lacking = append(report.Lacking, id)
		}
	}
	l.m.emit(report)
}
