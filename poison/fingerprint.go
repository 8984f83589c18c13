package poison

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// Fingerprint names the content of a request. A caller that sends it again
// gives it a new request id but cannot change the content that crashes the
// backend server, so the fingerprint stays the same at every node.
//
// The hash is not cryptographic: it tells requests apart that are not crafted
// to collide.
func Fingerprint(service, operation, query string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeField(&d, service)
	writeField(&d, operation)
	writeField(&d, query)
	_, _ = d.Write(body) // a Digest never fails
	return d.Sum64()
}

// writeField writes the length first, so that no two lists of fields give the
// same bytes.
func writeField(d *xxhash.Digest, s string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(min(len(s), math.MaxUint32)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

// Quarantine returns the node at which a suspect runs alone: the first of the
// nodes by rendezvous hash, the same at every node with the same view. One
// place for each fingerprint keeps a poison request that is sent through
// several nodes at once from crashing a backend server at each. Zero if there
// are no nodes.
func Quarantine(fp uint64, nodes []wire.NodeID) wire.NodeID {
	return first(fp, nodes, nil)
}

func first(fp uint64, nodes []wire.NodeID, skip func(wire.NodeID) bool) wire.NodeID {
	var best wire.NodeID
	var bestRank uint64
	found := false
	for _, id := range nodes {
		if skip != nil && skip(id) {
			continue
		}
		rank := rank(fp, id)
		if !found || rank > bestRank {
			best, bestRank, found = id, rank, true
		}
	}
	return best
}

func rank(fp uint64, id wire.NodeID) uint64 {
	var b [len(id) + 8]byte
	copy(b[:], id[:])
	binary.LittleEndian.PutUint64(b[len(id):], fp)
	return xxhash.Sum64(b[:])
}
