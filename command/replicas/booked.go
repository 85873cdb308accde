package replicas

// ServedRate returns the number of deferrable requests of a model per second that its engines serve.
func (f *Fleet) ServedRate(model string) float64 {
	if d := f.demand[model]; d != nil {
		return d.Served
	}
	return 0
}

// LessBooked returns a share of a model's deferrable requests to admit, lowered because the given number of requests
// per second is admitted besides.
func (f *Fleet) LessBooked(model string, share, booked float64) float64 {
	d := f.demand[model]
	if d == nil || d.Deferrable <= 0 {
		return share
	}
	return min(share, max(minAdmittedShare, share-booked/d.Deferrable))
}
