package scenarios

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/standin/engine"
)

const loadModel = "load_model"

// readPool returns a pool as the first host that answers shows it.
func (s *scenario) readPool(name string) (api.Pool, error) {
	err := errors.New("no host answers")
	for _, h := range s.bed.Hosts {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
		var a api.Pools
		err = s.bed.Do(ctx, h.HTTPAddress, http.MethodGet, "/v1/pools", nil, &a)
		cancel()
		if err != nil {
			continue
		}
		if i := slices.IndexFunc(a.Pools, func(p api.Pool) bool { return p.Name == name }); i >= 0 {
			return a.Pools[i], nil
		}
		err = fmt.Errorf("host %s shows no pool %s", h.Name, name)
	}
	return api.Pool{}, err
}

// cmdManager puts the name of the host that manages a pool into a variable.
func cmdManager(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	var o struct {
		As string `long:"as" default:"MANAGER"`
	}
	words, err := parseArgs(args, &o, 1, 1)
	if err != nil {
		return err
	}
	p, err := s.readPool(words[0])
	if err == nil && p.Manager == "" {
		err = fmt.Errorf("pool %s has no order manager", words[0])
	}
	if err == nil {
		ts.Setenv(o.As, string(p.Manager))
	}
	return err
}

// manager POOL HOST|!HOST: the status of the pool comes from this host, or from another one.
func checkManager(s *scenario, args []string) error {
	name, not := strings.CutPrefix(args[1], "!")
	h, err := s.bed.Host(name)
	if err != nil {
		return err
	}
	p, err := s.readPool(args[0])
	if err == nil && (string(p.Manager) == h.Name) == not {
		return fmt.Errorf("the order manager of %s is %s", args[0], p.Manager)
	}
	return err
}

// pool POOL VERSION all|N+: all workers, or at least N, are ready with the version.
func checkPool(s *scenario, args []string) error {
	p, err := s.readPool(args[0])
	if err != nil {
		return err
	}
	ready := 0
	for _, w := range p.Workers {
		if w.Version == args[1] && w.State == "ready" {
			ready++
		}
	}
	want := len(s.bed.Engines)
	if args[2] != "all" {
		if want, err = strconv.Atoi(strings.TrimSuffix(args[2], "+")); err != nil {
			return err
		}
	}
	if ready < want {
		return fmt.Errorf("%d workers of %s are ready with version %s: %+v", ready, args[0], args[1], p.Workers)
	}
	return nil
}

// checkModelLoads VERSION N: each engine accepted N orders to load the version, and the weight store sent it N times to each,
// one transfer at a time.
func checkModelLoads(s *scenario, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	engines, err := s.bed.EngineCounters()
	if err != nil {
		return err
	}
	model := ""
	for _, e := range engines {
		n := 0
		for _, o := range e.Orders {
			if o.Accepted && o.Kind == loadModel && o.Version == args[0] {
				n, model = n+1, o.Model
			}
		}
		if n != want {
			return fmt.Errorf("engine %s accepted %d orders to load version %s: %+v", e.Name, n, args[0], e.Orders)
		}
	}
	w, err := s.bed.WeightCounters()
	if n := w.Fetches[model+"@"+args[0]]; err == nil && (n != int64(want*len(engines)) || w.MaxActive > 1) {
		return fmt.Errorf("the weight store sent version %s %d times, and up to %d versions at once", args[0], n, w.MaxActive)
	}
	return err
}

// acceptedOrders returns the accepted orders of all engines in the order of their arrival.
func (s *scenario) acceptedOrders() ([]engine.OrderRecord, error) {
	engines, err := s.bed.EngineCounters()
	var all []engine.OrderRecord
	for _, e := range engines {
		for _, o := range e.Orders {
			if o.Accepted {
				all = append(all, o)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b engine.OrderRecord) int {
		return cmp.Or(cmp.Compare(a.UnixMS, b.UnixMS), cmp.Compare(a.FencingToken, b.FencingToken))
	})
	return all, err
}

// checkHolderCount N: the accepted orders come from N holders of the lease.
func checkHolderCount(s *scenario, args []string) error {
	all, err := s.acceptedOrders()
	if err != nil {
		return err
	}
	names := map[string]bool{}
	for _, o := range all {
		names[o.Holder] = true
	}
	if strconv.Itoa(len(names)) != args[0] {
		return fmt.Errorf("%d holders sent orders: %+v", len(names), all)
	}
	return nil
}

// holders-in-turn: the fencing numbers of the accepted orders never fall, and each number has one holder. Engines
// that ignore the number accept every order.
func checkFencingOrder(s *scenario, _ []string) error {
	all, err := s.acceptedOrders()
	if err != nil {
		return err
	}
	for i := 1; i < len(all); i++ {
		if all[i].FencingToken < all[i-1].FencingToken || (all[i].FencingToken == all[i-1].FencingToken && all[i].Holder != all[i-1].Holder) {
			return fmt.Errorf("an order of holder %s (number %d) came after one of holder %s (number %d)",
				all[i].Holder, all[i].FencingToken, all[i-1].Holder, all[i-1].FencingToken)
		}
	}
	return nil
}

// orders-to-idle: no accepted order reached an engine that was running calls.
func checkOrdersToIdle(s *scenario, _ []string) error {
	all, err := s.acceptedOrders()
	for _, o := range all {
		if o.ActiveRequests > 0 {
			return fmt.Errorf("order %+v reached an engine with %d calls", o.Order, o.ActiveRequests)
		}
	}
	return err
}

// loading-refused N: N calls reached engines that were loading.
func checkLoadingRefused(s *scenario, args []string) error {
	return s.checkEngineSum(args[0], "calls reached loading engines", func(c engine.Counters) int64 { return c.RefusedWhileLoading })
}

// checkAborted N: the engines cut off N calls.
func checkAborted(s *scenario, args []string) error {
	return s.checkEngineSum(args[0], "calls were cut off", func(c engine.Counters) int64 { return c.Aborted })
}

func (s *scenario) checkEngineSum(want, what string, of func(engine.Counters) int64) error {
	engines, err := s.bed.EngineCounters()
	var n int64
	for _, e := range engines {
		n += of(e)
	}
	if err == nil && strconv.FormatInt(n, 10) != want {
		return fmt.Errorf("%d %s", n, what)
	}
	return err
}
