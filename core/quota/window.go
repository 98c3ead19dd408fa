package quota

import "time"

// windowSlots is the number of parts of a window whose tokens are counted together.
const windowSlots = 100

// window counts the tokens that were granted within the last span.
type window struct {
	span  time.Duration
	slots []slot // in the order of their times
	total int
}

// slot holds tokens that were granted until the time at.
type slot struct {
	at     time.Duration
	tokens int
}

// spread returns a window in which the tokens were granted at a constant rate until now.
func spread(now, span time.Duration, tokens int) window {
	w := window{span: span}
	for i := range windowSlots {
		n := tokens*(i+1)/windowSlots - tokens*i/windowSlots
		if n > 0 {
			w.slots = append(w.slots, slot{at: now - span + span*time.Duration(i+1)/windowSlots, tokens: n})
		}
	}
	w.total = tokens
	return w
}

// expire removes what was granted before the window.
func (w *window) expire(now time.Duration) {
	n := 0
	for n < len(w.slots) && now-w.slots[n].at >= w.span {
		w.total -= w.slots[n].tokens
		n++
	}
	w.slots = w.slots[n:]
}

// add counts tokens that are granted now. Tokens of one slot count until the last of them leaves the window.
func (w *window) add(now time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	w.total += tokens
	if last := len(w.slots) - 1; last >= 0 && now-w.slots[last].at < w.span/windowSlots {
		w.slots[last].tokens += tokens
		// The beginning of a slot does not move, so that a steady stream of grants fills several.
		return
	}
	w.slots = append(w.slots, slot{at: now, tokens: tokens})
}

// freeIn returns the time in which at least n tokens leave the window.
func (w *window) freeIn(now time.Duration, n int) time.Duration {
	for _, s := range w.slots {
		if n -= s.tokens; n <= 0 {
			return s.at + w.span - now
		}
	}
	return w.span
}
