package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	largeKind = 96000 // thousandths of a core; 1.5 times the other kind, as in the site file
	smallKind = 64000

	flappingUpstreams = 10
	flapPeriod        = 1400 * time.Millisecond
	clockStep         = 2400 * time.Millisecond
	// roomExcuse is ContactMs of the site and one heartbeat.
	roomExcuse = 5500 * time.Millisecond
	// afterFlap is how long jobs go on after the last restart.
	afterFlap = 12 * time.Second

	crowdCustomers = 60
	crowdMilliCPU  = 16000
	crowdTask      = 400 * time.Millisecond
)

// playLowerBorn makes an upstream go down and up twice while its time of day is ahead for a while, so
// that its last life begins at an earlier time of day than the one before. The last life is of a
// smaller kind.
func playLowerBorn(r *record, trouble bool) (bool, error) {
	in, err := newInstallation(map[string]zoneSize{"a": {2, 0}})
	if err != nil {
		return false, err
	}
	defer in.close()
	var mu sync.Mutex
	over, excused := 0, 0
	var list []*upstream
	for i := range flappingUpstreams {
		u, err := newUpstream(in.store, fmt.Sprintf("u%d", i), "a", largeKind, crowdMilliCPU)
		if err != nil {
			return false, err
		}
		defer u.close()
		u.onStart = func(used, capacity int64, age time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case used <= capacity:
			case age <= roomExcuse:
				excused++
			default:
				over++
				r.add("a start brings %s to %d of %d thousandths of a core, %d ms after its process started", u.id, used, capacity, age.Milliseconds())
			}
		}
		list = append(list, u)
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var customers sync.WaitGroup
	counts := map[string]int{}
	for i := range crowdCustomers {
		customers.Go(func() { in.sendCrowd(i, stop, &mu, counts) })
	}
	time.Sleep(contactTime)
	u := list[0]
	if trouble {
		r.add("the time of day of %s jumps ahead", u.id)
		u.stepClock(clockStep)
		r.flap(u, largeKind)
		r.add("the time of day of %s is right again", u.id)
		u.stepClock(0)
	} else {
		r.flap(u, largeKind)
	}
	r.flap(u, smallKind)
	time.Sleep(afterFlap)
	close(stop)
	customers.Wait()
	r.add("responses: %v; starts over the capacity: %d, and %d within %v of the restart, which do not count", counts, over, excused, roomExcuse)
	return over > 0, nil
}

// flap takes an upstream down and up, as a kind of the given size, and waits for the rest of the period.
func (r *record) flap(u *upstream, milliCPU int64) {
	u.crash()
	r.add("%s goes down", u.id)
	time.Sleep(flapPeriod / 2)
	u.start(milliCPU)
	r.add("%s is up, with %d thousandths of a core; its process started at %d by its time of day", u.id, milliCPU, u.bornMs)
	time.Sleep(flapPeriod / 2)
}

// sendCrowd sends one job after the other until stop is closed.
func (in *installation) sendCrowd(customer int, stop <-chan struct{}, mu *sync.Mutex, counts map[string]int) {
	client := newCustomer()
	list := in.all()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		job := standin.Job{ID: fmt.Sprintf("%08x%08x", customer+1, n), Tasks: 1, MilliCPU: crowdMilliCPU, TaskDuration: crowdTask}
		status, _, err := call(client, http.MethodPost, list[customer%len(list)], job.ID, job.Body(), 1500*time.Millisecond)
		mu.Lock()
		counts[fmt.Sprintf("%d", status)]++
		mu.Unlock()
		if err != nil || status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
