package capacity

import (
	"fmt"
	"runtime/debug"
	"testing"
	"time"
)

// sizes are the numbers of nodes in the tables of docs/CAPACITY.md.
var sizes = []int{200, 500, 1000, 2000, 3500}

// gcPercent limits the memory of large fleets. It costs processor time, so the measured
// processor times are upper bounds.
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

func reportSeconds(b *testing.B, d time.Duration, unit string) { b.ReportMetric(d.Seconds(), unit) }

// BenchmarkOrdinary measures an idle fleet, single deaths, drains and starts, and a
// network that loses one message in a hundred.
func BenchmarkOrdinary(b *testing.B) {
	const events = 4
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		fleet := s.StartFleet(size)
		s.Run(settleTime)
		reportIdle(b, s.MeasureIdle(30*time.Second))
		var death, most Death
		var drain, known, complete time.Duration
		for i := range events {
			n := fleet[(2*i+1)*size/(2*events)]
			d := s.MeasureDeath(n)
			death.FirstSuspected += d.FirstSuspected / events
			death.OutOfService += d.OutOfService / events
			death.Dead += d.Dead / events
			most.OutOfService = max(most.OutOfService, d.OutOfService)
			most.Dead = max(most.Dead, d.Dead)
			j := s.MeasureJoin(n)
			known = max(known, j.Known)
			complete = max(complete, j.Complete)
			drain = max(drain, s.MeasureDrain(fleet[i*size/events+1]))
		}
		reportSeconds(b, death.FirstSuspected, "suspect-first-s")
		reportSeconds(b, death.OutOfService, "out-of-service-s")
		reportSeconds(b, most.OutOfService, "out-of-service-most-s")
		reportSeconds(b, death.Dead, "dead-s")
		reportSeconds(b, most.Dead, "dead-most-s")
		reportSeconds(b, drain, "drain-most-s")
		reportSeconds(b, known, "join-known-most-s")
		reportSeconds(b, complete, "join-complete-most-s")
		before := s.MeasureLoss(0, time.Second)
		loss := s.MeasureLoss(0.01, 5*time.Minute)
		b.ReportMetric(float64(loss.Suspicions-before.Suspicions), "false-suspicions")
		b.ReportMetric(float64(loss.Deaths-before.Deaths), "false-deaths")
	})
}

func reportFault(b *testing.B, name string, d FaultResult) {
	if !d.Recovered {
		b.Errorf("%s: views still wrong after %v", name, d.RecoveryTime)
	}
	reportSeconds(b, d.RecoveryTime, name+"-s")
	reportSeconds(b, d.Most, name+"-999-of-1000-s")
	reportSeconds(b, d.OutOfService, name+"-out-of-service-s")
	b.ReportMetric(d.PerNodeSecond(d.Bytes), name+"-B/s")
	b.ReportMetric(float64(d.Second.Most), name+"-most-B/1s")
	b.ReportMetric(float64(d.TenSeconds.Most)/10, name+"-most-B/s-over-10s")
	b.ReportMetric(d.PerNodeSecond(d.Dials), name+"-dial/s")
	b.ReportMetric(float64(d.Accepts.Most), name+"-accepts-most/s")
	b.ReportMetric(float64(d.MaxAppendsPerSecond), name+"-appends-most/s")
	b.ReportMetric(float64(d.CPU.Microseconds()), name+"-cpu-µs/s")
}

// BenchmarkBadDays measures the loss of a switch, a partition of a region and its end, and
// the loss of a data centre.
func BenchmarkBadDays(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		fleet := s.StartFleet(size)
		s.Run(settleTime)
		reportFault(b, "switch", s.LoseSwitch())
		for _, n := range fleet {
			if !n.Up {
				n.Spec.Seeds = []string{s.pickSeed(n).Spec.Addr}
				s.Start(n.Spec)
			}
		}
		s.Run(time.Minute)
		during, healed := s.PartitionRegion()
		reportFault(b, "cut", during)
		reportFault(b, "heal", healed)
		s.Run(time.Minute)
		reportFault(b, "data-centre", s.LoseDataCentre())
	})
}

// BenchmarkRestartAll measures five minutes of a restart of all nodes within an hour.
func BenchmarkRestartAll(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		s.StartFleet(size)
		s.Run(settleTime)
		reportFault(b, "restart", s.RestartAll(5*time.Minute))
	})
}

// BenchmarkStartAll measures a start of all nodes at once, without seeds and with an empty
// log.
func BenchmarkStartAll(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		d := s.StartAll(size)
		reportFault(b, "start", d)
		b.ReportMetric(float64(d.Appends), "start-appends")
	})
}

// BenchmarkLogOut measures an hour's outage of the log with ordinary restarts.
func BenchmarkLogOut(b *testing.B) {
	eachSize(b, sizes[:3], func(b *testing.B, s *Sim, size int) {
		s.StartFleet(size)
		s.Run(settleTime)
		during, after := s.LogOutage()
		reportFault(b, "log-out", during)
		reportFault(b, "log-back", after)
		b.ReportMetric(float64(during.Appends)/time.Hour.Seconds(), "log-out-appends/s")
		b.ReportMetric(float64(after.Appends), "log-back-appends")
	})
}

// BenchmarkConfiguration measures changes of one section, and of 200 sections in one
// publication. Each node holds its own graph, so memory limits the sizes.
func BenchmarkConfiguration(b *testing.B) {
	const changes = 10
	eachSize(b, []int{100, 200, 400, 800}, func(b *testing.B, s *Sim, size int) {
		s.cfg.Spread = true
		s.cfg.TickEvery = 100 * time.Millisecond
		s.StartFleet(size)
		s.Run(settleTime)
		publish := func(first, last, change int) (time.Duration, time.Duration) {
			if err := s.Publish(first, last, change); err != nil {
				b.Fatal(err)
			}
			before := cpuTime()
			took, ok := s.AwaitConfiguration(time.Minute)
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
		reportSeconds(b, most, "one-section-most-s")
		b.ReportMetric(float64(used.Microseconds()), "one-section-cpu-µs")
		s.ResetStats()
		all, cpu := publish(0, designServices-1, changes+1)
		burst := s.Total(all)
		reportSeconds(b, all, "all-sections-s")
		b.ReportMetric(float64(cpu.Microseconds()), "all-sections-cpu-µs")
		b.ReportMetric(float64(burst.Bytes)/float64(size), "all-sections-B")
		b.ReportMetric(float64(burst.Second.Most), "all-sections-most-B/1s")
	})
}

// BenchmarkRest measures an idle fleet with membership and configuration gossip.
func BenchmarkRest(b *testing.B) {
	eachSize(b, sizes, func(b *testing.B, s *Sim, size int) {
		s.cfg.Spread = true
		s.cfg.TickEvery = 100 * time.Millisecond
		s.StartFleet(size)
		s.Run(2 * settleTime)
		idle := s.MeasureIdle(30 * time.Second)
		reportIdle(b, idle)
		b.ReportMetric(float64(idle.Reads)/idle.Seconds, "log-reads/s")
		b.ReportMetric(float64(idle.Second.Most), "rest-most-B/1s")
	})
}

func reportIdle(b *testing.B, idle IdleResult) {
	b.ReportMetric(idle.PerNodeSecond(idle.Messages), "rest-msg/s")
	b.ReportMetric(idle.PerNodeSecond(idle.Bytes), "rest-B/s")
	b.ReportMetric(idle.PerNodeSecond(idle.Dials), "rest-dial/s")
	b.ReportMetric(float64(idle.CPU.Microseconds()), "rest-cpu-µs/s")
	b.ReportMetric(idle.Connections, "conns")
	b.ReportMetric(float64(idle.MaxConnections), "conns-most")
}

// BenchmarkHeap measures the memory of one node's tables, decoded from messages.
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

// BenchmarkConnections measures the cost of an idle connection between two nodes for each
// of them over loopback, without memory of the operating system.
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
