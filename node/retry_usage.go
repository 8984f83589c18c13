package node

// logRetryUsage logs for each service whose extra attempts have run out what they were spent on.
// With these lines an operator tells repeated attempts from the calls of repeated runs, and sees
// at which nodes either gather.
func (n *Node) logRetryUsage() {
	for _, u := range n.dispatch.RetryUsage() {
		n.log.Info().Str("to_service", u.Service).Uint64("calls", u.Calls).Uint64("allowed", u.Allowed).
			Uint64("charged", u.Charged).Uint64("denied", u.Denied).Msg("extra attempts ran out")
	}
}
