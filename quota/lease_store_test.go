package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// leaseStore is the simulated store. It assigns a single partition to one member of a group at
// a time, as the platform's store does: in order, once the earlier owner has let go of it or its
// lease has expired, or at once, without a word to anybody.
type leaseStore struct {
	rng        *rand.Rand
	generation uint64
	members    map[int]member
	// owner holds the partition, next is to hold it once the owner lets go; -1 for none.
	owner, next int
	// downUntil is the end of an outage. If expires is set, the leases expire meanwhile.
	downUntil time.Time
	expires   bool
	// register holds the entry of the partition, written counts the writes to it.
	register map[int]RegisterEntry
	written  uint64
	// era grows with each restore of backup.
	era    uint64
	backup *leaseStore
}

// member is the membership of a node.
type member struct {
	expiresAt time.Time
	// seen is the generation that the node named in its last join.
	seen uint64
}

func newLeaseStore(rng *rand.Rand) *leaseStore {
	return &leaseStore{rng: rng, members: make(map[int]member), owner: -1, next: -1, register: make(map[int]RegisterEntry)}
}

// down reports whether joins fail.
func (s *leaseStore) down(now time.Time) bool { return now.Before(s.downUntil) }

// fail starts an outage.
func (s *leaseStore) fail(now time.Time, d time.Duration, expires bool) {
	s.downUntil, s.expires = now.Add(d), expires
}

// join joins node i to the group or renews its membership. It returns the generation and
// whether the node owns the partition.
func (s *leaseStore) join(now time.Time, i int, ttl time.Duration, generation uint64) (uint64, bool) {
	s.expire(now)
	_, known := s.members[i]
	s.members[i] = member{expiresAt: now.Add(ttl), seen: generation}
	if !known {
		s.distribute()
	}
	s.settle()
	return s.generation, s.owner == i && s.next == i
}

// write writes to the register, if it has been written to as often as written says.
func (s *leaseStore) write(entries map[int]RegisterEntry, written uint64) bool {
	if s.written != written {
		return false
	}
	s.register = maps.Clone(s.register)
	maps.Copy(s.register, entries)
	s.written++
	return true
}

// leave ends the membership of node i.
func (s *leaseStore) leave(i int) {
	if _, known := s.members[i]; known {
		delete(s.members, i)
		s.distribute()
		s.settle()
	}
}

// expire ends the memberships that have run out.
func (s *leaseStore) expire(now time.Time) {
	for _, i := range s.names() {
		if s.expires || !now.Before(s.members[i].expiresAt) {
			delete(s.members, i)
			s.distribute()
		}
	}
	s.expires = false
	s.settle()
}

func (s *leaseStore) names() []int {
	names := make([]int, 0, len(s.members))
	for i := range s.members {
		names = append(names, i)
	}
	slices.Sort(names)
	return names
}

// distribute assigns the partition anew after a change of the members. It mostly stays where
// it is.
func (s *leaseStore) distribute() {
	s.generation++
	if _, current := s.members[s.next]; current && s.rng.IntN(4) > 0 {
		return
	}
	s.next = s.pick()
}

// pick returns a random member, -1 if there is none.
func (s *leaseStore) pick() int {
	names := s.names()
	if len(names) == 0 {
		return -1
	}
	return names[s.rng.IntN(len(names))]
}

// settle passes the partition on once its owner has let go.
func (s *leaseStore) settle() {
	m, current := s.members[s.owner]
	if s.owner != s.next && (!current || m.seen >= s.generation) {
		s.owner = s.next
	}
}

// rebalance assigns the partition anew; the owner lets go first.
func (s *leaseStore) rebalance() {
	s.generation++
	s.next = s.pick()
}

// reassign assigns the partition anew at once.
func (s *leaseStore) reassign() {
	s.rebalance()
	s.owner = s.next
}

// restore restores the last backup, if any, and takes a new one.
func (s *leaseStore) restore() {
	if b := s.backup; b != nil {
		s.generation, s.owner, s.next = b.generation, b.owner, b.next
		s.members, s.register, s.written = maps.Clone(b.members), b.register, b.written
		s.era++
	}
	backup := *s
	backup.backup = nil
	backup.members = maps.Clone(s.members)
	s.backup = &backup
}
