package forwarder

// earnRepeat adds the share of a repeat that each first send earns.
func (s *service) earnRepeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	earned := float64(s.settings.Retry.BudgetPercent) / 100
	s.repeatTokens = min(s.repeatTokens+earned, maxRepeatTokens)
}

// spendRepeat takes one repeat from the budget, if it holds one.
func (s *service) spendRepeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Retry.BudgetPercent == 0 || s.repeatTokens < 1 {
		return false
	}
	s.repeatTokens--
	s.stats.repeats.Inc(1)
	return true
}
