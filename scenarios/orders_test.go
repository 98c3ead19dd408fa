package scenarios

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/standin/engine"
)

const loadModel = "load_model"

// readPool returns a pool as listed by the first host that answers and has it.
func (s *scenario) readPool(name string) (api.Pool, error) {
	err := fmt.Errorf("no host answers for pool %s", name)
	for _, h := range s.cluster.Hosts {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
		var a api.Pools
		err = s.cluster.Do(ctx, h.HTTPAddress, http.MethodGet, "/v1/pools", nil, &a)
		cancel()
		if err != nil {
			continue
		}
		if i := slices.IndexFunc(a.Pools, func(p api.Pool) bool { return p.Name == name }); i >= 0 {
			return a.Pools[i], nil
		}
		err = fmt.Errorf("host %s lists no pool %s", h.Name, name)
	}
	return api.Pool{}, err
}

// cmdManager sets a variable to the name of the order manager of a pool.
func cmdManager(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	var opts struct {
		As string `long:"as" default:"MANAGER"`
	}
	words, err := parseArgs(args, &opts, 1, 1)
	if err != nil {
		return err
	}
	p, err := s.readPool(words[0])
	if err == nil && p.Manager == "" {
		err = fmt.Errorf("pool %s has no order manager", words[0])
	}
	if err == nil {
		ts.Setenv(opts.As, string(p.Manager))
	}
	return err
}

// checkManager POOL HOST|!HOST: the order manager of the pool is HOST, or with "!" it is not.
func checkManager(s *scenario, args []string) error {
	name, negated := strings.CutPrefix(args[1], "!")
	h, err := s.cluster.Host(name)
	if err != nil {
		return err
	}
	p, err := s.readPool(args[0])
	if err == nil && (string(p.Manager) == h.Name) == negated {
		return fmt.Errorf("the order manager of pool %s is %s", args[0], p.Manager)
	}
	return err
}

// checkPool POOL VERSION all|N+: all workers, or at least N, are ready with the version.
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
	want := len(s.cluster.Engines)
	if args[2] != "all" {
		if want, err = strconv.Atoi(strings.TrimSuffix(args[2], "+")); err != nil {
			return err
		}
	}
	if ready < want {
		return fmt.Errorf("%d workers of pool %s are ready with version %s: %+v", ready, args[0], args[1], p.Workers)
	}
	return nil
}

// checkModelLoads VERSION N: each engine accepted N orders to load the version, and the weight store sent it N times
// per engine, one transfer at a time.
func checkModelLoads(s *scenario, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	engines, err := s.cluster.EngineCounters()
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
	w, err := s.cluster.WeightCounters()
	if n := w.Fetches[model+"@"+args[0]]; err == nil && (n != int64(want*len(engines)) || w.MaxActive > 1) {
		return fmt.Errorf("the weight store sent version %s %d times, with up to %d transfers at once", args[0], n, w.MaxActive)
	}
	return err
}

// acceptedOrders returns the accepted orders of all engines in the order of their arrival.
func (s *scenario) acceptedOrders() ([]engine.OrderRecord, error) {
	engines, err := s.cluster.EngineCounters()
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

// checkHolderCount N: the accepted orders come from N holders of the order lease.
func checkHolderCount(s *scenario, args []string) error {
	all, err := s.acceptedOrders()
	if err != nil {
		return err
	}
	holders := map[string]bool{}
	for _, o := range all {
		holders[o.Holder] = true
	}
	if strconv.Itoa(len(holders)) != args[0] {
		return fmt.Errorf("%d holders sent the accepted orders: %+v", len(holders), all)
	}
	return nil
}

// checkFencingOrder: the fencing tokens of the accepted orders never fall, and each token has one holder. Engines
// that ignore fencing tokens accept every order.
func checkFencingOrder(s *scenario, _ []string) error {
	all, err := s.acceptedOrders()
	if err != nil {
		return err
	}
	for i := 1; i < len(all); i++ {
		if all[i].FencingToken < all[i-1].FencingToken || (all[i].FencingToken == all[i-1].FencingToken && all[i].Holder != all[i-1].Holder) {
			return fmt.Errorf("an order of holder %s (fencing token %d) arrived after one of holder %s (fencing token %d)",
				all[i].Holder, all[i].FencingToken, all[i-1].Holder, all[i-1].FencingToken)
		}
	}
	return nil
}

// checkOrdersToIdle: no accepted order reached an engine that was running calls.
func checkOrdersToIdle(s *scenario, _ []string) error {
	all, err := s.acceptedOrders()
	for _, o := range all {
		if o.ActiveRequests > 0 {
			return fmt.Errorf("order %+v reached an engine that was running %d calls", o.Order, o.ActiveRequests)
		}
	}
	return err
}

// checkLoadingRefused N: engines refused N calls because they were loading a model.
func checkLoadingRefused(s *scenario, args []string) error {
	return s.checkEngineSum(args[0], "calls were refused by engines that were loading", func(c engine.Counters) int64 { return c.RefusedWhileLoading })
}

// checkAborted N: the engines aborted N calls.
func checkAborted(s *scenario, args []string) error {
	return s.checkEngineSum(args[0], "calls were aborted by engines", func(c engine.Counters) int64 { return c.Aborted })
}

func (s *scenario) checkEngineSum(want, what string, counter func(engine.Counters) int64) error {
	engines, err := s.cluster.EngineCounters()
	var sum int64
	for _, e := range engines {
		sum += counter(e)
	}
	if err == nil && strconv.FormatInt(sum, 10) != want {
		return fmt.Errorf("%d %s", sum, what)
	}
	return err
}
