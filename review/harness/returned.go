package main

import "time"

const (
	// Times of the disruptions and of the turns in the outage, from the kill of the home on.
	outageBegins = 2 * time.Second
	homeIsBack   = 3 * time.Second
	outageEnds   = 6500 * time.Millisecond
	// programsPerSecond is the number of programs for each host that may be the second in their order.
	programsPerSecond = 4
)

// turnsInOutage is when programs have turns while the store is down.
var turnsInOutage = []time.Duration{2100 * time.Millisecond, 4300 * time.Millisecond, 5400 * time.Millisecond}

// runReturned kills the home of programs, and lets the store be down as the home starts again.
func runReturned(l *lab, trouble bool) (bool, error) {
	o, err := newOutages(l)
	if err != nil {
		return false, err
	}
	home := l.hosts[0]
	o.programs = nil
	for _, second := range l.hosts[1:6] {
		o.programs = append(o.programs, programsOf(l, programsPerSecond, home, second)...)
	}
	turnAll(l, o.programs, o.entry)
	began := time.Now()
	if trouble {
		l.kill(home)
		time.AfterFunc(outageBegins, func() { l.setStoreDown(true) })
		time.AfterFunc(homeIsBack, func() { o.restarted <- l.restart(home) })
		time.AfterFunc(outageEnds, func() { l.setStoreDown(false) })
	}
	for _, at := range turnsInOutage {
		time.Sleep(time.Until(began.Add(at)))
		turnAll(l, o.programs, o.entry)
	}
	if trouble {
		if err := <-o.restarted; err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(outageEnds + time.Second)))
	for range 3 {
		turnAll(l, o.programs, o.entry)
	}
	return judgeBudgets(l, o.programs), nil
}
