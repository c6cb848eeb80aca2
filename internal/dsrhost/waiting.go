package dsrhost

import (
	"context"
	"time"

	"mimosashore.example/mimosashore/internal/dsr"
)

// maxFreeBuffers bounds the buffers that are kept for packets that will wait.
const maxFreeBuffers = 256

// waitingPackets keeps the bytes of packets that wait at this host. The core bounds their number and size.
type waitingPackets struct {
	byID map[dsr.HoldID][]byte
	free [][]byte
}

func newWaitingPackets() waitingPackets {
	return waitingPackets{byID: make(map[dsr.HoldID][]byte)}
}

// put keeps a copy of a packet and the space in front of it.
func (w *waitingPackets) put(id dsr.HoldID, b []byte) {
	var buffer []byte
	if n := len(w.free); n > 0 {
		buffer, w.free = w.free[n-1], w.free[:n-1]
	}
	w.byID[id] = append(buffer[:0], b...)
}

// take returns the bytes of a packet, which are no longer kept; nil if there are none.
func (w *waitingPackets) take(id dsr.HoldID) []byte {
	b := w.byID[id]
	delete(w.byID, id)
	return b
}

// release makes the buffer of a packet available again.
func (w *waitingPackets) release(b []byte) {
	if b != nil && len(w.free) < maxFreeBuffers {
		w.free = append(w.free, b)
	}
}

// sendReleased carries out what the core decided on packets that waited.
func (d *coreLoop) sendReleased() {
	overhead := d.host.deps.Format.Overhead()
	for _, r := range d.core.TakeReleases() {
		b := d.waiting.take(r.Hold)
		d.host.stats.countPacket(r.Effect)
		if r.Effect.Resync {
			d.host.feed.requestResync()
		}
		d.carryOut(b, overhead, &r.Header, r.Effect)
		d.waiting.release(b)
	}
}

// setTimer sets the timer for the next event of the core, which has one only while requests wait.
func (d *coreLoop) setTimer() {
	now := d.host.elapsed()
	at, ok := d.core.NextEvent(now)
	switch {
	case ok && !d.timerSet:
		d.timer.Reset(at - now)
		d.timerSet = true
	case !ok && d.timerSet:
		d.timer.Stop()
		d.timerSet = false
	}
}

// stopWaiting ends the waits of all requests, before the host stops.
func (h *Host) stopWaiting(ctx context.Context) {
	done := make(chan struct{})
	select {
	case h.stopWaits <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// newStoppedTimer returns a timer that is not running.
func newStoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}
