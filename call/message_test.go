package call

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Slot time adds up by service, without wrapping round however long a peer says that
// a call took.
func TestUses(t *testing.T) {
	is := is.New(t)
	list := AddUse(nil, "a", 3*time.Millisecond)
	list = AddUse(list, "b", time.Second)
	list = AddUse(list, "a", 2*time.Millisecond)
	is.Equal(list, []Use{{Service: "a", Micros: 5000}, {Service: "b", Micros: 1_000_000}})
	is.Equal(Names(list), []string{"a", "b"})
	is.Equal(list[0].Seconds(), 0.005)
	list = AddUse(AddUse(list, "a", -time.Second), "a", math.MaxInt64)
	list = AddUse(list, "a", math.MaxInt64)
	is.True(list[0].Micros > math.MaxUint32/2)
}

// A call's own slot time counts with that of the calls below it, which stay as they are.
func TestUsesOfACall(t *testing.T) {
	is := is.New(t)
	out := Outcome{RanFor: 7 * time.Millisecond, SlotTimeUsed: []Use{{Service: "b", Micros: 2000}, {Service: "a", Micros: 1000}}}
	list := out.AddUses([]Use{{Service: "b", Micros: 500}}, "a")
	is.Equal(list, []Use{{Service: "b", Micros: 2500}, {Service: "a", Micros: 8000}})
	is.Equal(out.SlotTimeUsed[1].Micros, uint32(1000))
}

// A request that passed two levels of one service was let in by the higher one.
func TestHighestLevels(t *testing.T) {
	is := is.New(t)
	a := []Level{{Service: "a", Priority: 5}, {Service: "b", Priority: 9}}
	joined := HighestLevels(a, []Level{{Service: "a", Priority: 7}, {Service: "b", Priority: 1}, {Service: "c", Priority: 2}})
	is.Equal(joined, []Level{{Service: "a", Priority: 7}, {Service: "b", Priority: 9}, {Service: "c", Priority: 2}})
	is.Equal(a[0].Priority, uint16(5)) // the lists are as they were
	r := Request{AdmittedLevels: joined}
	is.Equal(r.AdmittedLevel("a"), uint16(7))
	is.Equal(r.AdmittedLevel("d"), uint16(0))
}
