package dsrhost

import (
	"context"
	"time"
)

const (
	// startupSnapshotWait is how long a host that starts waits for the directory of another host, once one
	// said that it has it, before it reads the store.
	startupSnapshotWait = 100 * time.Millisecond
	// startupPeerWait is how long a host that starts waits for other hosts to tell whether they have the directory and
	// what the store lost, before it reads the store and serves what it read: six round trips of 4 ms. Where all hosts
	// start at once, nobody can tell: with 100 ms, callers that came back found fewer hosts that serve.
	startupPeerWait = 25 * time.Millisecond
)

// awaitSnapshot waits at the start for the directory of another host, at most startupSnapshotWait.
func (f *feed) awaitSnapshot(ctx context.Context) {
	if f.greeted == nil {
		return
	}
	f.awaitsSnapshot.Store(true)
	defer f.awaitsSnapshot.Store(false)
	began := time.Now()
	f.greetingEndsAt = began.Add(startupPeerWait)
	f.awaitGreeting(ctx)
	timer := time.NewTimer(time.Until(began.Add(startupSnapshotWait)))
	defer timer.Stop()
	for f.hasSource() && f.replica.Position().IsZero() {
		select {
		case <-f.peerUpdated:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
	f.verifyPending = !f.replica.Position().IsZero()
	f.watchPromptly = f.verifyPending
}

// awaitGreeting waits until greeted is closed, at most until startupPeerWait after the start.
func (f *feed) awaitGreeting(ctx context.Context) {
	timer := time.NewTimer(time.Until(f.greetingEndsAt))
	defer timer.Stop()
	select {
	case <-f.greeted:
	case <-timer.C:
	case <-ctx.Done():
	}
}
