package loadcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more opening packets in any second than the bound, and against less than 80 % of it
// while callers wait.
func TestColdPacerKeepsBoundInEachSecond(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		limit     int
	}{{0, 5}, {2.5, 8}, {-9, 0}, {1e6, maxColdLimit}} {
		limit := ColdBound{Over: 1.5, Slack: 5}.ColdLimit(c.perSecond)
		require.Equal(t, c.limit, limit)
		var p ColdPacer
		var sent []time.Duration
		for now := time.Duration(0); now < 10*time.Second; now += 3 * time.Millisecond {
			if limit < maxColdLimit && p.Admits(now, limit) {
				p.Sent(now)
				sent = append(sent, now)
			}
		}
		for i := limit; i < len(sent) && limit > 0; i++ {
			require.Greater(t, sent[i]-sent[i-limit], time.Second)
		}
		if limit < maxColdLimit {
			require.GreaterOrEqual(t, len(sent), limit*8)
		}
	}
}

// Guards against a cold upstream that two hosts open flows to, or none, while hosts start, die, are cut off
// and learn of each other at different times.
func TestColdOwners(t *testing.T) {
	const newcomerTime = 20 * time.Second
	zone := func(known, heard int, hosts ...uint64) ZoneHosts {
		return ZoneHosts{Hosts: hosts, Known: known, Seen: heard, NewcomerTime: newcomerTime}
	}
	// know sets the hosts each second, for the given time, and returns what the host owns then.
	know := func(o *ColdOwners, self uint64, now, d time.Duration, z ZoneHosts) (keys []uint64) {
		z.Self = self
		for end := now + d; now <= end; now += time.Second {
			o.Set(now, z)
		}
		for key := range uint64(100) {
			if o.Owns(now-time.Second, key, new(ColdOwner)) {
				keys = append(keys, key)
			}
		}
		return keys
	}
	calm := zone(3, 3, 1, 2, 3, 4)
	var hosts [4]ColdOwners
	var before [4][]uint64
	var all []uint64
	for i := range hosts {
		require.Empty(t, know(&hosts[i], uint64(i+1), 0, newcomerTime-time.Second, calm), "others may not know it")
		before[i] = know(&hosts[i], uint64(i+1), newcomerTime, 0, calm)
		require.NotEmpty(t, before[i])
		all = append(all, before[i]...)
	}
	require.Len(t, all, 100, "each has one owner")

	for _, c := range []struct {
		what string
		z    ZoneHosts
		want int
	}{
		{"cut off from half", zone(3, 1, 1, 2, 3, 4), 0},
		{"cut off, the others have expired", zone(3, 0, 1), 0},
		{"no host known", zone(0, 0), 0},
		{"most are heard", zone(3, 2, 1, 2, 3, 4), len(before[0])},
		{"alone", zone(0, 0, 1), 100},
	} {
		require.Len(t, know(new(ColdOwners), 1, time.Minute, newcomerTime, c.z), c.want, c.what)
	}

	// Host 4 dies. The others take over its upstreams only, a second after they learn of it; a change that
	// follows does not cut the wait short.
	for i := range 3 {
		died, again := zone(3, 2, 1, 2, 3), hosts[i]
		require.Equal(t, before[i], know(&hosts[i], uint64(i+1), newcomerTime+time.Second, time.Second, died))
		require.Greater(t, len(know(&hosts[i], uint64(i+1), newcomerTime+3*time.Second, 0, died)), len(before[i]))
		know(&again, uint64(i+1), newcomerTime+time.Second, 0, died)
		require.Subset(t, before[i], know(&again, uint64(i+1), newcomerTime+2*time.Second, 0, zone(3, 2, 1, 2, 3, 5)))
		require.Empty(t, know(&hosts[i], uint64(i+1), time.Hour, 0, died), "it was paused")
	}
}
