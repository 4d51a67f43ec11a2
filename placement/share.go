package placement

// serviceState is what a broker keeps about one service.
type serviceState struct {
	usedSlots   int
	queuedTasks int // tasks waiting for slots
	share       Share
}

// Share configures how many slots of a pool a service may use.
type Share struct {
	Weight   float64 // relative to the other services with waiting tasks; 0 means 1
	MaxSlots int     // maximum number of slots in use; 0 means no limit
}

func (b *Broker) getOrCreateService(service string) *serviceState {
	s := b.services[service]
	if s == nil {
		s = &serviceState{}
		b.services[service] = s
	}
	return s
}

// SetShares replaces the shares of all services. A service that is not in shares has
// weight 1 and no limit.
func (b *Broker) SetShares(shares map[string]Share) {
	for _, s := range b.services {
		s.share = Share{}
	}
	for service, share := range shares {
		b.getOrCreateService(service).share = share
	}
}

func (s *serviceState) weight() float64 {
	if s.share.Weight > 0 {
		return s.share.Weight
	}
	return 1
}

// weightedUse returns the number of slots that the service would use after one more grant,
// divided by its weight. The service with the lowest value is granted the next slot.
func (s *serviceState) weightedUse() float64 { return float64(s.usedSlots+1) / s.weight() }

// atMaxSlots reports whether the service uses all the slots that it may use.
func (s *serviceState) atMaxSlots() bool {
	return s.share.MaxSlots > 0 && s.usedSlots >= s.share.MaxSlots
}
