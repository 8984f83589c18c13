package poison

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// Fingerprint returns a hash of the content of a request. It is the same at every
// node and for every resend: a resend has a new request ID but the same content.
//
// The hash is not cryptographic: requests can be crafted to collide.
func Fingerprint(service, operation, query string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeField(&d, service)
	writeField(&d, operation)
	writeField(&d, query)
	_, _ = d.Write(body) // a Digest never fails
	return d.Sum64()
}

// writeField writes a length prefix and the field, so that different lists of
// fields give different bytes.
func writeField(d *xxhash.Digest, s string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(min(len(s), math.MaxUint32)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

// RendezvousNode returns the isolation node of a suspect by rendezvous hashing: the
// same at every node with the same view, zero if there are no nodes. With a single
// isolation node, a poison request sent through several nodes at once can't crash
// a backend server at each of them.
func RendezvousNode(fp uint64, nodes []wire.NodeID) wire.NodeID {
	return highestRanked(fp, nodes, nil)
}

// highestRanked returns the node with the highest rank among those not skipped, or zero.
func highestRanked(fp uint64, nodes []wire.NodeID, skip func(wire.NodeID) bool) wire.NodeID {
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
