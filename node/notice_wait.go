package node

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// noticeWait is the wait of a backend server that has become ready for the answer of another node
// of its service to the request for notices. A request that has crashed other backend servers, or
// the earlier incarnation of this one, may be the first to arrive.
type noticeWait struct {
	number  uint64 // of the latest wait
	waiting bool
	why     string // the backend server is ready
}

// noticesAnswered follows the last notice of an answer to a request for notices.
type noticesAnswered struct{}

// awaitNotices sets the backend server ready once another node of the service has told its notices,
// at the latest after Config.NoticeWait. The caller holds reportMu.
func (n *Node) awaitNotices(why string) {
	others := n.members.othersOfService(n.cfg.Service)
	if len(others) == 0 && time.Since(n.startedAt) > n.cfg.NoticeWait {
		n.applyReady(true, why)
		return
	}
	n.noticeWait = noticeWait{number: n.noticeWait.number + 1, waiting: true, why: why}
	number := n.noticeWait.number
	time.AfterFunc(n.cfg.NoticeWait, func() { n.noticeWaitExpired(number) })
	if len(others) > 0 {
		n.noticesRequested.Store(true)
		n.background(func() { n.askForNotices(others) })
	}
}

// noticesHeard ends the wait for notices, if there is one.
func (n *Node) noticesHeard() {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
	n.endNoticeWait()
}

// noticeWaitExpired ends a wait that has not ended yet.
func (n *Node) noticeWaitExpired(number uint64) {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
	if n.noticeWait.number == number {
		n.endNoticeWait()
	}
}

// endNoticeWait ends the wait for notices and sets the backend server ready, unless that has changed
// meanwhile. The caller holds reportMu.
func (n *Node) endNoticeWait() {
	if !n.noticeWait.waiting {
		return
	}
	n.noticeWait.waiting = false
	if n.ctx.Err() == nil && n.backendInstance().ready {
		n.applyReady(true, n.noticeWait.why)
	}
}

// handleNoticesRequest sends all notices to a node, which need not be a member here yet.
func (n *Node) handleNoticesRequest(from wire.NodeID) {
	for _, notice := range n.allNotices(time.Now()) {
		n.outbox.sendIfConnected(from, wire.KindPoison, notice)
	}
	n.outbox.sendIfConnected(from, wire.KindPoisonAnswered, noticesAnswered{})
}
