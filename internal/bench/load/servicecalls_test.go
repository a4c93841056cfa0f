package load

import "testing"

// Guards against a key that counts as unanswered although one of its calls was
// answered, and against an unanswered key that is not counted.
func TestUnansweredCountsKeysWithoutAnswer(t *testing.T) {
	var s serviceCalls
	for _, c := range []struct {
		key     string
		outcome Outcome
	}{{"a", OutcomeUnknown}, {"a", OutcomeAnswered}, {"b", OutcomeNotRun}, {"b", OutcomeUnknown}, {"c", OutcomeAnswered}} {
		s.add(serviceCall{request: Request{Key: c.key}, result: result{outcome: c.outcome}})
	}
	if got := s.unanswered(); got != 1 {
		t.Errorf("unanswered() = %d, want 1", got)
	}
}
