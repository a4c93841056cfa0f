package engine

// boundedMap holds at most limit keys and evicts the key that was added first;
// limit must be positive.
type boundedMap[V any] struct {
	limit  int
	order  []string
	values map[string]V
}

func (m *boundedMap[V]) put(key string, v V) {
	if m.values == nil {
		m.values = make(map[string]V)
	}
	if _, ok := m.values[key]; !ok {
		if len(m.order) >= m.limit {
			delete(m.values, m.order[0])
			m.order = m.order[1:]
		}
		m.order = append(m.order, key)
	}
	m.values[key] = v
}

func (m *boundedMap[V]) get(key string) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

func (m *boundedMap[V]) clear() {
	m.order = nil
	clear(m.values)
}
