package operator

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/config"
)

const wholePercent = 100

// hostStart undoes the drain by command of a host in a zone plan.
func (s *session) hostStart(ctx context.Context, a *hostStartArgs) (report, error) {
	r, err := s.acceptProposal(ctx, config.ZonePrefix+a.Zone, a.ChangeID, accept.Drain{Target: a.Host, Undo: true})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// hostStop drains a host in a zone plan by command. It refuses if too few other hosts
// are serving, unless the operator skips that check.
func (s *session) hostStop(ctx context.Context, a *hostStopArgs) (report, error) {
	p := accept.Drain{Target: a.Host, MinActive: 1}
	if a.AllowShort {
		p.MinActive = 0
	} else if err := s.checkCapacity(ctx, a); err != nil {
		return nil, err
	}
	r, err := s.acceptProposal(ctx, config.ZonePrefix+a.Zone, a.ChangeID, p)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// checkCapacity returns an error if stopping the host leaves too small a share of
// the planned hosts. Only active hosts that answer, are ready and are not stopping
// count as serving.
func (s *session) checkCapacity(ctx context.Context, a *hostStopArgs) error {
	documents, err := accept.Documents(ctx, s.store)
	if err != nil {
		return err
	}
	hosts := plannedHosts(documents)
	serving := 0
	for _, answer := range s.fetchHostStates(ctx, hosts, a.AdminPort) {
		eligible := answer.host.State == config.HostActive && answer.host.Name != a.Host
		if eligible && answer.err == nil && answer.state.Ready && !answer.state.Stopping {
			serving++
		}
	}
	if serving*wholePercent < a.LeastShare*len(hosts) {
		text := fmt.Sprintf("%d of %d planned hosts would go on serving, at least %d%% have to", serving, len(hosts), a.LeastShare)
		return eris.Errorf("host %s is not stopped: %s; nothing changed", a.Host, text)
	}
	return nil
}
