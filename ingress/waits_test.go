package ingress

// alwaysHalf is a source of random numbers for coordinators.
func alwaysHalf() float64 { return 0.5 }
