package main

import "time"

// restartDelay is the short delay after which the platform starts a killed process again.
const restartDelay = 500 * time.Millisecond

// outages runs programs through outages of the store in which their first two homes are killed and started again.
type outages struct {
	lab       *lab
	programs  []*program
	entry     *host
	restarted chan error
}

// killInOutage lets the program have a turn at each of the first two hosts and kills each after it, while the store is down.
func (o *outages) killInOutage() {
	for _, h := range o.lab.hosts[:2] {
		turnAll(o.lab, o.programs, o.entry)
		o.lab.kill(h)
		time.AfterFunc(restartDelay, func() { o.restarted <- o.lab.restart(h) })
		time.Sleep(300 * time.Millisecond)
	}
}

// waitRestarted waits until both hosts are ready again.
func (o *outages) waitRestarted() error {
	for range 2 {
		if err := <-o.restarted; err != nil {
			return err
		}
	}
	return nil
}

func newOutages(l *lab) (*outages, error) {
	if err := newTobyl(l); err != nil {
		return nil, err
	}
	o := &outages{lab: l, entry: l.hosts[6], programs: programsOf(l, 8, l.hosts[0], l.hosts[1]), restarted: make(chan error, 2)}
	time.Sleep(7 * time.Second)
	return o, nil
}

// runCell is the open cell of the table of faults: the outage ends within 2 s of the start of the first host.
func runCell(l *lab, trouble bool) (bool, error) {
	o, err := newOutages(l)
	if err != nil {
		return false, err
	}
	if trouble {
		l.setStoreDown(true)
		o.killInOutage()
		time.Sleep(900 * time.Millisecond)
		l.setStoreDown(false)
		if err := o.waitRestarted(); err != nil {
			return false, err
		}
	} else {
		turnAll(l, o.programs, o.entry)
		turnAll(l, o.programs, o.entry)
	}
	for range 4 {
		time.Sleep(300 * time.Millisecond)
		turnAll(l, o.programs, o.entry)
	}
	return judgeBudgets(l, o.programs), nil
}

// runSecond loses shares in two outages, the second of which begins when the hosts are back from the first.
func runSecond(l *lab, trouble bool) (bool, error) {
	o, err := newOutages(l)
	if err != nil {
		return false, err
	}
	for range 2 {
		if !trouble {
			turnAll(l, o.programs, o.entry)
			turnAll(l, o.programs, o.entry)
			continue
		}
		l.setStoreDown(true)
		o.killInOutage()
		time.Sleep(3 * time.Second)
		l.setStoreDown(false)
		if err := o.waitRestarted(); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	for range 3 {
		turnAll(l, o.programs, o.entry)
	}
	return judgeBudgets(l, o.programs), nil
}
