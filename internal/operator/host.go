package operator

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/config"
)

// percent is a whole in percent.
const percent = 100

func (s *session) hostStart(ctx context.Context, a *hostStartArgs) (report, error) {
	r, err := s.single(ctx, config.ZonePrefix+a.Zone, a.ChangeID, accept.Drain{Target: a.Host, Undo: true})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// hostStop stops a host on the plan if enough of the others serve.
func (s *session) hostStop(ctx context.Context, a *hostStopArgs) (report, error) {
	p := accept.Drain{Target: a.Host, MinActive: 1}
	if a.AllowShort {
		p.MinActive = 0
	} else if err := s.checkCapacity(ctx, a); err != nil {
		return nil, err
	}
	r, err := s.single(ctx, config.ZonePrefix+a.Zone, a.ChangeID, p)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// checkCapacity refuses a stop that leaves too small a share of the planned
// hosts. Only hosts that answer and are ready count.
func (s *session) checkCapacity(ctx context.Context, a *hostStopArgs) error {
	documents, err := accept.Documents(ctx, s.store)
	if err != nil {
		return err
	}
	hosts := plannedHosts(documents)
	serving := 0
	for _, answer := range s.askHosts(ctx, hosts, a.AdminPort) {
		counts := answer.host.State == config.HostActive && answer.host.Name != a.Host
		if counts && answer.err == nil && answer.state.Ready && !answer.state.Stopping {
			serving++
		}
	}
	if serving*percent < a.LeastShare*len(hosts) {
		text := fmt.Sprintf("%d of %d planned hosts would go on serving, at least %d%% have to", serving, len(hosts), a.LeastShare)
		return eris.Errorf("host %s is not stopped: %s; nothing changed", a.Host, text)
	}
	return nil
}
