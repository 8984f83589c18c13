package node

// logOutages logs the services and operations that became lost, or came back, as seen from this
// node. With these lines an operator tells the loss of a service from overload.
func (n *Node) logOutages() {
	for _, c := range n.dispatch.OutageChanges() {
		if c.Lost {
			n.log.Warn().Str("to_service", c.Target.Service).Str("route", c.Target.Operation).Msg("dependency lost")
			continue
		}
		n.log.Info().Str("to_service", c.Target.Service).Str("route", c.Target.Operation).
			Dur("after_ms", c.Lasted).Msg("dependency back")
	}
}

// probeLostServices tries to reach the lost services, without waiting for the results.
func (n *Node) probeLostServices() {
	for _, service := range n.dispatch.ServicesToProbe() {
		n.background(func() { n.dispatch.Probe(n.ctx, service) })
	}
}
