package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// A customer that gives up leaves nothing at work, whatever becomes of the owner
// that started its tasks, or of the orders that are under way.

// longTask is how long the tasks of these customers would work: longer than a test.
const longTask = 60_000

// handIn submits a job on a connection of its own; leave closes it.
func (in *installation) handIn(name, id string, tasks int) (leave func()) {
	in.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := standin.NewRequest(ctx, "POST", in.nodes[name].settings.CustomerAddress, "desk.example", "/checks/"+id, jobBody(tasks, longTask), patience)
	if err != nil {
		in.t.Fatal(err)
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if res, err := client.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	return func() { cancel(); <-answered }
}

// nothingRuns waits until no task of a job runs, serves another job on the same
// upstreams, and checks that no task of the first has begun since.
func (in *installation) nothingRuns(id, through string) {
	in.t.Helper()
	in.until("nothing of the job runs", func() bool { return !in.ledger.IsRunning(id) })
	last := in.ledger.LastJobStart(id)
	in.until("the group has room", func() bool {
		loads := in.nodes[through].router.Loads()
		return len(loads) == 1 && loads[0].Capacity > 0
	})
	in.want(through, 2, 20)
	if in.ledger.IsRunning(id) || in.ledger.LastJobStart(id).After(last) {
		in.t.Error("a task of it has begun after its customer had left")
	}
}

// twoInstances returns an installation with the owner of its only group, and a
// coordinator beside it.
func twoInstances(t *testing.T) (in *installation, owner, coordinator string) {
	in = newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	owner = in.owner("a/0")
	return in, owner, in.other(owner)
}

func TestNothingRunsForNobody(t *testing.T) {
	t.Run("its owner is cut off", func(t *testing.T) {
		in, _, coordinator := twoInstances(t)
		id := in.newID()
		leave := in.handIn(coordinator, id, 2)
		in.until("it runs", func() bool { return in.ledger.IsRunning(id) })
		in.silencePeers()
		leave()
		in.nothingRuns(id, coordinator)
	})
	t.Run("its owner is removed", func(t *testing.T) {
		in, owner, coordinator := twoInstances(t)
		id := in.newID()
		leave := in.handIn(coordinator, id, 2)
		in.until("it runs", func() bool { return in.ledger.IsRunning(id) })
		in.kill(owner)
		leave()
		in.until("another owns the group", func() bool { return in.owner("a/0") == coordinator })
		in.nothingRuns(id, coordinator)
	})
	t.Run("its owner and its coordinator are one, and removed", func(t *testing.T) {
		in, owner, other := twoInstances(t)
		id := in.newID()
		leave := in.handIn(owner, id, 2)
		in.until("it runs", func() bool { return in.ledger.IsRunning(id) })
		in.kill(owner)
		leave()
		in.until("another owns the group", func() bool { return in.owner("a/0") == other })
		in.nothingRuns(id, other)
	})
	t.Run("the orders to start are carried out late", func(t *testing.T) {
		in, _, coordinator := twoInstances(t)
		in.delayOrders(1, 300*time.Millisecond)
		id := in.newID()
		leave := in.handIn(coordinator, id, 2)
		in.until("it runs", func() bool { return in.ledger.IsRunning(id) })
		leave()
		in.delayOrders(0, 0)
		in.nothingRuns(id, coordinator)
	})
	t.Run("the orders are under way when it leaves and its owner is removed", func(t *testing.T) {
		in, owner, coordinator := twoInstances(t)
		in.delayOrders(1, 300*time.Millisecond)
		id := in.newID()
		leave := in.handIn(coordinator, id, 2)
		in.until("the job is open", func() bool { return in.nodes[coordinator].ingress.OpenJobs() == 1 })
		leave()
		in.kill(owner)
		in.delayOrders(0, 0)
		in.until("another owns the group", func() bool { return in.owner("a/0") == coordinator })
		in.nothingRuns(id, coordinator)
	})
}

// delayOrders makes a share of the orders to all upstreams be carried out late, and
// not answered.
func (in *installation) delayOrders(share float64, late time.Duration) {
	for _, u := range in.upstreams {
		u.DelayOrders(share, late)
	}
}
