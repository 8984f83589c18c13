package call

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slot time that wraps round when a peer sends huge values.
func TestAddSlotTimeSumsByServiceWithoutOverflow(t *testing.T) {
	is := is.New(t)
	list := AddSlotTime(nil, "a", 3*time.Millisecond)
	list = AddSlotTime(list, "b", time.Second)
	list = AddSlotTime(list, "a", 2*time.Millisecond)
	is.Equal(list, []SlotTime{{Service: "a", Micros: 5000}, {Service: "b", Micros: 1_000_000}})
	is.Equal(SlotTimeServices(list), []string{"a", "b"})
	is.Equal(list[0].Seconds(), 0.005)
	list = AddSlotTime(AddSlotTime(list, "a", -time.Second), "a", math.MaxInt64)
	list = AddSlotTime(list, "a", math.MaxInt64)
	is.True(list[0].Micros > math.MaxUint32/2)
}

// A call's own slot time is added to that of its calls, and the outcome's list
// is not changed.
func TestAddSlotTimesIncludesOwnTime(t *testing.T) {
	is := is.New(t)
	out := Outcome{RanFor: 7 * time.Millisecond, SlotTimeUsed: []SlotTime{{Service: "b", Micros: 2000}, {Service: "a", Micros: 1000}}}
	list := out.AddSlotTimes([]SlotTime{{Service: "b", Micros: 500}}, "a")
	is.Equal(list, []SlotTime{{Service: "b", Micros: 2500}, {Service: "a", Micros: 8000}})
	is.Equal(out.SlotTimeUsed[1].Micros, uint32(1000))
}

// Of two levels of one service the higher one counts.
func TestHighestLevelsKeepsTheHigherOfEachService(t *testing.T) {
	is := is.New(t)
	a := []Level{{Service: "a", Priority: 5}, {Service: "b", Priority: 9}}
	joined := HighestLevels(a, []Level{{Service: "a", Priority: 7}, {Service: "b", Priority: 1}, {Service: "c", Priority: 2}})
	is.Equal(joined, []Level{{Service: "a", Priority: 7}, {Service: "b", Priority: 9}, {Service: "c", Priority: 2}})
	is.Equal(a[0].Priority, uint16(5)) // the inputs are unchanged
	r := Request{AdmittedLevels: joined}
	is.Equal(r.AdmittedLevel("a"), uint16(7))
	is.Equal(r.AdmittedLevel("d"), uint16(0))
}
