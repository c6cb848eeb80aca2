package placement

import "time"

// rampInitialShare is the share of its slots that an upstream gets at the
// beginning of slow start.
const rampInitialShare = 0.1

// ramp is the slow start of an upstream: its share of slots grows linearly to
// one.
type ramp struct {
	start    time.Duration
	duration time.Duration
}

func (r *ramp) begin(now, length time.Duration) {
	r.start = now
	r.duration = length
}

func (r *ramp) active(now time.Duration) bool {
	return r.duration > 0 && now-r.start < r.duration
}

// factor returns the share of its slots that the upstream may use.
func (r *ramp) factor(now time.Duration) float64 {
	if !r.active(now) {
		return 1
	}
	passed := float64(now-r.start) / float64(r.duration)
	return rampInitialShare + (1-rampInitialShare)*passed
}

// inRampCooldown reports whether an upstream in slow start must stay idle for
// now. An upstream whose share is less than one slot pauses between requests so
// that its mean load equals that share.
func (u *upstream) inRampCooldown(now time.Duration, serviceTimes estimator) bool {
	share := u.ramp.factor(now) * float64(u.slots)
	if !u.ramp.active(now) || share >= 1 || u.lastFinish < u.ramp.start {
		return false
	}
	cooldown := time.Duration(float64(serviceTimes.mean) * (1/share - 1))
	return now-u.lastFinish < cooldown
}
