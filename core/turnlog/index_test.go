package turnlog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func meta(id, previous string) Meta {
	return Meta{ID: id, Previous: previous, Retention: time.Minute, Bytes: 10}
}

// Guards against a chain of which a turn is deleted while a later one is retained: it could not be continued any more.
func TestTurnIsRetainedAsLongAsALaterOneOfItsChain(t *testing.T) {
	g := NewWithT(t)
	x := NewIndex()
	x.Put(0, 1, meta("t1", ""))
	x.Put(50*time.Second, 2, meta("t2", "t1"))
	x.Put(100*time.Second, 3, meta("t3", "t2"))
	g.Expect(x.Expire(165 * time.Second)).To(BeEmpty())
	chain, missing, err := x.Chain("t3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(missing).To(BeEmpty())
	g.Expect(chain).To(HaveLen(3))
	x.Touch(165*time.Second, "t2")
	g.Expect(x.Expire(171*time.Second)).To(HaveLen(1), "t3, which nobody has continued")
	g.Expect(x.Expire(234 * time.Second)).To(BeEmpty())
	g.Expect(x.Expire(236*time.Second)).To(HaveLen(2), "the whole chain, in one call")
	g.Expect(x.Len()).To(BeZero())
	g.Expect(x.Bytes()).To(BeZero())
}

// Guards against an attempt that replaces a turn with the same ID which others have continued.
func TestUsedTurnIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	x := NewIndex()
	x.Put(0, 1, meta("t1", ""))
	other := meta("t1", "")
	other.Checksum = 1
	_, err := x.Check(other)
	g.Expect(err).NotTo(HaveOccurred(), "the response of an attempt that nobody has continued was not completed")
	x.Touch(0, "t1")
	_, err = x.Check(other)
	g.Expect(err).To(MatchError(ErrOtherTurn))
	present, err := x.Check(meta("t1", ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(present).To(BeTrue())
}

// Guards against an index that loses turns when others expire, and against lists of new turns that leave some out. The
// model is a list of the turns in the order in which they were added.
func TestIndexAgreesWithAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		type turn struct {
			id, previous string
			lastUse      time.Duration
		}
		var model []turn
		continued := func(id string) bool {
			return slices.ContainsFunc(model, func(o turn) bool { return o.previous == id })
		}
		x := NewIndex()
		now, sequence, seen, listed := time.Duration(0), uint64(0), uint64(0), map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				sequence++
				m := meta(fmt.Sprint("t", sequence), "")
				if len(model) > 0 && rapid.Bool().Draw(t, "continues") {
					m.Previous = rapid.SampledFrom(model).Draw(t, "previous").id
				}
				x.Put(now, sequence, m)
				for i := range model {
					if model[i].id == m.Previous {
						model[i].lastUse = now
					}
				}
				model = append(model, turn{m.ID, m.Previous, now})
			},
			"touch": func(t *rapid.T) {
				if len(model) > 0 {
					i := rapid.IntRange(0, len(model)-1).Draw(t, "turn")
					model[i].lastUse = now
					x.Touch(now, model[i].id)
				}
			},
			"wait":    func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second },
			"restart": func(*rapid.T) { seen = 0 },
			"list": func(*rapid.T) {
				for e := range x.After(seen) {
					listed[e.ID] = true
				}
				seen = x.LastOrder()
				for _, o := range model {
					g.Expect(listed).To(HaveKey(o.id))
				}
			},
			"expire": func(*rapid.T) {
				x.Expire(now)
				for i := len(model) - 1; i >= 0; i-- {
					if o := model[i]; !continued(o.id) && now-o.lastUse >= time.Minute+ExpirySlack {
						model = slices.Delete(model, i, i+1)
					}
				}
			},
			"": func(*rapid.T) {
				g.Expect(x.Len()).To(Equal(len(model)))
				g.Expect(x.Bytes()).To(Equal(int64(10 * len(model))))
				for _, o := range model {
					g.Expect(x.Get(o.id)).NotTo(BeNil())
					_, missing, err := x.Chain(o.id)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(missing).To(BeEmpty())
				}
			},
		})
	})
}
