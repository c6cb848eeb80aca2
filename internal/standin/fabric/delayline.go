package fabric

import (
	"container/heap"
	"context"
	"time"

	"mimosashore.example/mimosashore/internal/netio"
)

// delayed is a datagram that is sent at its due time.
type delayed struct {
	due      time.Time
	order    uint64
	datagram netio.Datagram
}

// delayQueue is a heap of datagrams, ordered by due time and then by arrival.
type delayQueue []delayed

func (q delayQueue) Len() int { return len(q) }
func (q delayQueue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].order < q[j].order
	}
	return q[i].due.Before(q[j].due)
}
func (q delayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *delayQueue) Push(x any) { *q = append(*q, x.(delayed)) }

// Pop implements heap.Interface.
func (q *delayQueue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	(*q)[last] = delayed{}
	*q = (*q)[:last]
	return d
}

// delayLine buffers datagrams until they are due and then sends them.
type delayLine struct {
	in     chan delayed
	writer netio.Writer
	queue  delayQueue
	order  uint64
}

func newDelayLine(writer netio.Writer) *delayLine {
	return &delayLine{in: make(chan delayed, delayLineCapacity), writer: writer}
}

// run sends datagrams as they fall due, until the context ends.
func (l *delayLine) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.setTimer(timer)
		select {
		case <-ctx.Done():
			return nil
		case d := <-l.in:
			l.order++
			d.order = l.order
			heap.Push(&l.queue, d)
		case <-timer.C:
		}
		if err := l.writeDue(time.Now()); err != nil {
			return err
		}
	}
}

func (l *delayLine) setTimer(timer *time.Timer) {
	if len(l.queue) > 0 {
		timer.Reset(time.Until(l.queue[0].due))
	}
}

func (l *delayLine) writeDue(now time.Time) error {
	var batch []netio.Datagram
	for len(l.queue) > 0 && !l.queue[0].due.After(now) {
		d := heap.Pop(&l.queue).(delayed)
		batch = append(batch, d.datagram)
	}
	_, err := l.writer.Write(batch)
	return err
}
