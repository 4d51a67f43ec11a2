package placement

// use is what one service has of the pool, and what it may have.
type use struct {
	used   int
	queued int // tasks that wait
	share  Share
}

// Share is a service's part of a pool.
type Share struct {
	Weight   float64 // against the other services that wait; zero is 1
	MaxSlots int     // the most that it may have; zero is no bound
}

func (b *Broker) useOf(service string) *use {
	u := b.uses[service]
	if u == nil {
		u = &use{}
		b.uses[service] = u
	}
	return u
}

// SetShares replaces the parts of services; those not named weigh 1.
func (b *Broker) SetShares(shares map[string]Share) {
	for _, u := range b.uses {
		u.share = Share{}
	}
	for service, share := range shares {
		b.useOf(service).share = share
	}
}

func (u *use) weight() float64 {
	if u.share.Weight > 0 {
		return u.share.Weight
	}
	return 1
}

// standing is how much a service has for its weight: the least goes first.
func (u *use) standing() float64 { return float64(u.used+1) / u.weight() }

// atBound reports whether the service has all that it may have.
func (u *use) atBound() bool { return u.share.MaxSlots > 0 && u.used >= u.share.MaxSlots }
