package capacity

import (
	"fmt"
	"runtime/debug"
	"testing"
	"time"
)

// The sizes of the tables in docs/CAPACITY.md.
var sizes = []int{200, 500, 1000, 2000, 3500}

// gcPercent keeps 3,500 tables of 3,500 rows within the memory allowed. It
// costs processor time, so the figures for that are upper bounds.
const gcPercent = 40

func eachSize(b *testing.B, sizes []int, run func(b *testing.B, s *Sim, size int)) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				run(b, New(DefaultConfig()), size)
			}
			b.ReportMetric(0, "ns/op")
			debug.FreeOSMemory()
		})
	}
}

func seconds(b *testing.B, d time.Duration, unit string) { b.ReportMetric(d.Seconds(), unit) }

// BenchmarkOrdinary: a fleet at rest, single deaths, drains and starts, and a
// network that loses one message in a hundred.
func BenchmarkOrdinary(b *testing.B) {
	const events = 4
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		fleet := s.StartFleet(size)
		s.Run(settle)
		reportRest(b, s.MeasureRest(30*time.Second))
		var death, most Death
		var drain, known, complete time.Duration
		for i := range events {
			n := fleet[(2*i+1)*size/(2*events)]
			d := s.MeasureDeath(n)
			death.First += d.First / events
			death.OutOfService += d.OutOfService / events
			death.Dead += d.Dead / events
			most.OutOfService = max(most.OutOfService, d.OutOfService)
			most.Dead = max(most.Dead, d.Dead)
			j := s.MeasureJoin(n)
			known = max(known, j.Known)
			complete = max(complete, j.Complete)
			drain = max(drain, s.MeasureDrain(fleet[i*size/events+1]))
		}
		seconds(b, death.First, "suspect-first-s")
		seconds(b, death.OutOfService, "out-of-service-s")
		seconds(b, most.OutOfService, "out-of-service-most-s")
		seconds(b, death.Dead, "dead-s")
		seconds(b, most.Dead, "dead-most-s")
		seconds(b, drain, "drain-most-s")
		seconds(b, known, "join-known-most-s")
		seconds(b, complete, "join-complete-most-s")
		before := s.MeasureLoss(0, time.Second)
		loss := s.MeasureLoss(0.01, 5*time.Minute)
		b.ReportMetric(float64(loss.Suspicions-before.Suspicions), "false-suspicions")
		b.ReportMetric(float64(loss.Deaths-before.Deaths), "false-deaths")
	})
}

func report(b *testing.B, name string, d BadDay) {
	if !d.Done {
		b.Errorf("%s: views still wrong after %v", name, d.Took)
	}
	seconds(b, d.Took, name+"-s")
	seconds(b, d.Most, name+"-999-of-1000-s")
	seconds(b, d.OutOfService, name+"-out-of-service-s")
	b.ReportMetric(d.PerNodeSecond(d.Bytes), name+"-B/s")
	b.ReportMetric(float64(d.Second.Most), name+"-most-B/1s")
	b.ReportMetric(float64(d.TenSeconds.Most)/10, name+"-most-B/s-over-10s")
	b.ReportMetric(d.PerNodeSecond(d.Dials), name+"-dial/s")
	b.ReportMetric(float64(d.Accepts.Most), name+"-accepts-most/s")
	b.ReportMetric(float64(d.AppendsSecond), name+"-appends-most/s")
	b.ReportMetric(float64(d.CPU.Microseconds()), name+"-cpu-µs/s")
}

// BenchmarkBadDays: a switch, regions cut and healed, a data centre.
func BenchmarkBadDays(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		fleet := s.StartFleet(size)
		s.Run(settle)
		report(b, "switch", s.LoseSwitch())
		for _, n := range fleet {
			if !n.Up {
				n.Spec.Seeds = []string{s.seedFor(n).Spec.Addr}
				s.Start(n.Spec)
			}
		}
		s.Run(time.Minute)
		during, healed := s.CutRegion()
		report(b, "cut", during)
		report(b, "heal", healed)
		s.Run(time.Minute)
		report(b, "data-centre", s.LoseDataCentre())
	})
}

// BenchmarkRestartAll: everything restarted in an hour, five minutes of it.
func BenchmarkRestartAll(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		s.StartFleet(size)
		s.Run(settle)
		report(b, "restart", s.RestartAll(5*time.Minute))
	})
}

// BenchmarkStartAll: everything started at once, nobody known, the log empty.
func BenchmarkStartAll(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		d := s.StartAll(size)
		report(b, "start", d)
		b.ReportMetric(float64(d.Appends), "start-appends")
	})
}

// BenchmarkLogOut: the log out for an hour, with an ordinary day's restarts.
func BenchmarkLogOut(b *testing.B) {
	eachSize(b, sizes[:3], func(b *testing.B, s *Sim, size int) {
		s.StartFleet(size)
		s.Run(settle)
		during, after := s.LogOut()
		report(b, "log-out", during)
		report(b, "log-back", after)
		b.ReportMetric(float64(during.Appends)/time.Hour.Seconds(), "log-out-appends/s")
		b.ReportMetric(float64(after.Appends), "log-back-appends")
	})
}

// BenchmarkConfiguration: single changes, and 200 sections in one publication,
// through members that found their peers themselves. Each node holds its own
// graph, which bounds the sizes that fit this machine's memory.
func BenchmarkConfiguration(b *testing.B) {
	const changes = 10
	eachSize(b, []int{100, 200, 400, 800}, func(b *testing.B, s *Sim, size int) {
		s.cfg.Spread = true
		s.cfg.TickEvery = 100 * time.Millisecond
		s.StartFleet(size)
		s.Run(settle)
		publish := func(first, last, change int) (time.Duration, time.Duration) {
			if err := s.Publish(first, last, change); err != nil {
				b.Fatal(err)
			}
			before := cpuTime()
			took, ok := s.InForce(time.Minute)
			if state := s.Live()[0].C.State(); !ok || len(state.Sections()) != designServices {
				b.Errorf("change %d not in force after %v", change, took)
			}
			return took, (cpuTime() - before) / time.Duration(size)
		}
		publish(0, designServices-1, 0)
		var most, used time.Duration
		for i := range changes {
			s.Run(time.Second)
			took, cpu := publish(i, i, i+1)
			most = max(most, took)
			used += cpu / changes
		}
		seconds(b, most, "one-section-most-s")
		b.ReportMetric(float64(used.Microseconds()), "one-section-cpu-µs")
		s.ResetStats()
		all, cpu := publish(0, designServices-1, changes+1)
		burst := s.Total(all)
		seconds(b, all, "all-sections-s")
		b.ReportMetric(float64(cpu.Microseconds()), "all-sections-cpu-µs")
		b.ReportMetric(float64(burst.Bytes)/float64(size), "all-sections-B")
		b.ReportMetric(float64(burst.Second.Most), "all-sections-most-B/1s")
	})
}

// BenchmarkRest: membership and the spread of the configuration together, with
// nothing to do.
func BenchmarkRest(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		s.cfg.Spread = true
		s.cfg.TickEvery = 100 * time.Millisecond
		s.StartFleet(size)
		s.Run(2 * settle)
		rest := s.MeasureRest(30 * time.Second)
		reportRest(b, rest)
		b.ReportMetric(float64(rest.Reads)/rest.Seconds, "log-reads/s")
		b.ReportMetric(float64(rest.Second.Most), "rest-most-B/1s")
	})
}

func reportRest(b *testing.B, rest Rest) {
	b.ReportMetric(rest.PerNodeSecond(rest.Messages), "rest-msg/s")
	b.ReportMetric(rest.PerNodeSecond(rest.Bytes), "rest-B/s")
	b.ReportMetric(rest.PerNodeSecond(rest.Dials), "rest-dial/s")
	b.ReportMetric(float64(rest.CPU.Microseconds()), "rest-cpu-µs/s")
	b.ReportMetric(rest.Connections, "conns")
	b.ReportMetric(float64(rest.MostConnections), "conns-most")
}

// BenchmarkHeap: the memory of one node's tables, decoded from messages.
func BenchmarkHeap(b *testing.B) {
	for _, size := range []int{500, 1000, 2000, 3500, 7000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				table, views := MeasureTable(size)
				b.ReportMetric(float64(table), "table-B")
				b.ReportMetric(float64(views), "views-B")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
	b.Run("configuration", func(b *testing.B) {
		for range b.N {
			b.ReportMetric(float64(MeasureConfiguration()), "configuration-B")
		}
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkConnections: what an idle connection between two nodes costs each
// of them over loopback, the operating system's part left out.
func BenchmarkConnections(b *testing.B) {
	for _, count := range []int{100, 200, 400, 800} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				c, err := MeasureConnections(count)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(c.Memory, "B/conn")
				b.ReportMetric(c.Sent, "sent-B/open")
				b.ReportMetric(c.Received, "received-B/open")
				b.ReportMetric(float64(c.CPU.Microseconds()), "open-cpu-µs/conn")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
