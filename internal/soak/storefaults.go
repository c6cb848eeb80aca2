package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// failStore makes the store unavailable for the duration by setDown. If lapse is set, all
// entries lapse meanwhile and are registered again within reregisterWithin.
func (o *operator) failStore(ctx context.Context, duration time.Duration, lapse bool, setDown func(bool)) {
	o.mu.Lock()
	o.storeUnavailable = true
	setDown(true)
	o.mu.Unlock()
	sleep(ctx, duration/2)
	var lapsed []*upstreamInstance
	if lapse {
		o.mu.Lock()
		for _, s := range o.slots {
			if s.instance != nil {
				lapsed = append(lapsed, s.instance)
				o.store.Remove(s.instance.Key())
			}
		}
		o.mu.Unlock()
	}
	sleep(ctx, duration/2)
	setDown(false)
	for i, u := range lapsed {
		sleep(ctx, rand.N(reregisterWithin)/time.Duration(len(lapsed)-i))
		o.mu.Lock()
		if slices.ContainsFunc(o.slots, func(s *slot) bool { return s.instance == u }) {
			o.store.Put(u.Key(), u.Registration)
		}
		o.mu.Unlock()
	}
	o.mu.Lock()
	o.storeUnavailable = false
	o.mu.Unlock()
}

// restoreStore takes a copy of the store, confirms two more configurations, and brings the store
// back from the copy. The newest of what the operator wrote since is written again at once,
// registrations with the next heartbeats within reregisterWithin, and entries of upstreams that
// ended lapse.
func (o *operator) restoreStore(ctx context.Context, duration time.Duration) {
	before := o.store.Copy()
	o.configure(false)
	sleep(ctx, duration/4)
	o.configure(false)
	sleep(ctx, duration/4)
	o.mu.Lock()
	o.storeUnavailable = true
	o.store.SetDown(true)
	o.mu.Unlock()
	sleep(ctx, duration/4)
	o.mu.Lock()
	o.store.Restore(before)
	o.store.SetDown(false)
	o.mu.Unlock()
	sleep(ctx, rand.N(reregisterWithin-heartbeatInterval))
	o.mu.Lock()
	o.storeUnavailable = false
	o.store.Put(dsrworld.ConfigurationKey, o.lastConfiguration)
	if o.paced {
		o.rewriteEvacuations()
	}
	o.mu.Unlock()
	sleep(ctx, duration/4)
	o.removeEnded()
}

// removeEnded removes the entries of upstreams that don't run any more.
func (o *operator) removeEnded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	running := make(map[string]bool)
	for _, s := range o.slots {
		if s.instance != nil {
			running[s.instance.Key()] = true
		}
	}
	o.record.mu.Lock()
	defer o.record.mu.Unlock()
	for _, u := range o.record.upstreams {
		if !running[u.Key()] {
			o.store.Remove(u.Key())
		}
	}
}

// putInvalidEntry writes an entry that is no valid registration, as another
// writer of the store might.
func (o *operator) putInvalidEntry(pick int) {
	values := []string{"", "{", `"text"`, `{"service":"orders"}`, `{"service":7,"addr":"x"}`, "\xff\xfe"}
	o.store.PutBytes(fmt.Sprintf("servers/i-%08x", 0xff00+pick%8), []byte(values[pick%len(values)]))
}

// putWriterEntry writes the registration of an upstream with one field missing, of another type
// or with a value that nothing names, as another writer might: under the upstream's key or, with
// every fourth value of pick, under one of its own.
func (o *operator) putWriterEntry(pick int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.slots[pick%len(o.slots)]
	if s.instance == nil || o.storeUnavailable {
		return
	}
	b, err := json.Marshal(s.instance.Registration)
	var entry map[string]any
	if err != nil || json.Unmarshal(b, &entry) != nil {
		panic("registration can't be encoded")
	}
	field := slices.Sorted(maps.Keys(entry))[pick/64%len(entry)]
	switch pick / 4 % 4 {
	case 0:
		delete(entry, field)
	case 1:
		entry[field] = []any{entry[field]}
	case 2:
		entry["service"] = "unknown"
	case 3:
		entry["state"] = "unknown"
	}
	key := s.instance.Key()
	if pick%4 == 0 {
		key = fmt.Sprintf("servers/i-%08x", 0xfe00+pick%64)
	}
	o.store.Put(key, entry)
}

// writeLate starts work, and writes the registration that the upstream at the slot had before
// between minLateWrite and maxLateWrite after its start. The entry lapses if the upstream has
// ended by then.
func (o *operator) writeLate(ctx context.Context, s *slot, pick int, work func() error) error {
	o.mu.Lock()
	u := s.instance
	key, late := u.Key(), u.Registration
	o.mu.Unlock()
	runs := func() bool {
		return slices.ContainsFunc(o.slots, func(s *slot) bool { return s.instance != nil && s.instance.Key() == key })
	}
	var write sync.WaitGroup
	write.Go(func() {
		sleep(ctx, minLateWrite+time.Duration(pick%int((maxLateWrite-minLateWrite)/time.Millisecond))*time.Millisecond)
		o.mu.Lock()
		defer o.mu.Unlock()
		if !o.storeUnavailable {
			o.store.Put(key, late)
		}
	})
	err := work()
	write.Wait()
	o.mu.Lock()
	ended := !runs()
	o.mu.Unlock()
	if ended {
		sleep(ctx, lapseAfter)
		o.store.Remove(key)
	}
	return err
}
