package forwarder

// addRetryTokens adds to the retry budget what the first send of a call earns:
// BudgetPercent / 100 of a retry, up to maxRetryTokens in total.
func (s *service) addRetryTokens() {
	s.mu.Lock()
	defer s.mu.Unlock()
	earned := float64(s.settings.Retry.BudgetPercent) / 100
	s.retryTokens = min(s.retryTokens+earned, maxRetryTokens)
}

// takeRetryToken takes one retry from the budget. It returns false if the
// budget doesn't allow one.
func (s *service) takeRetryToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Retry.BudgetPercent == 0 || s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	s.stats.retries.Inc(1)
	return true
}
