package catalogue

// Snapshot is an immutable catalogue at a revision, with indexes for lookups. It
// is safe for concurrent use.
type Snapshot struct {
	Revision  int64
	Catalogue *Catalogue

	entries          map[string]*Entry
	workspacesByHash map[string]*Workspace
	movesByEntry     map[string]*Move
	limits           map[limitKey]Limit
	moveIDs          map[string]bool
}

type limitKey struct{ entry, workspace string }

// NewSnapshot returns a snapshot of c, which must not be modified afterwards.
func NewSnapshot(revision int64, c *Catalogue) *Snapshot {
	s := &Snapshot{
		Revision:         revision,
		Catalogue:        c,
		entries:          make(map[string]*Entry),
		workspacesByHash: make(map[string]*Workspace),
		movesByEntry:     make(map[string]*Move),
		limits:           make(map[limitKey]Limit),
		moveIDs:          make(map[string]bool),
	}
	for i := range c.Entries {
		e := &c.Entries[i]
		s.entries[e.Name] = e
		for _, l := range e.Limits {
			s.limits[limitKey{e.Name, l.Workspace}] = l
		}
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, h := range w.TokenHashes {
			s.workspacesByHash[h] = w
		}
	}
	for i := range c.Moves {
		m := &c.Moves[i]
		s.moveIDs[m.ID] = true
		s.movesByEntry[m.Entry] = m // a valid catalogue has at most one move per entry
	}
	return s
}

// Entry returns the entry with the given name.
func (s *Snapshot) Entry(name string) (*Entry, bool) {
	e, ok := s.entries[name]
	return e, ok
}

// WorkspaceByToken returns the workspace that owns a bearer token.
func (s *Snapshot) WorkspaceByToken(token string) (*Workspace, bool) {
	w, ok := s.workspacesByHash[sha256Hex(token)]
	return w, ok
}

// MoveOf returns the latest move of an entry.
func (s *Snapshot) MoveOf(entry string) (*Move, bool) {
	m, ok := s.movesByEntry[entry]
	return m, ok
}

// HasMove reports whether the catalogue contains the move with the given ID.
func (s *Snapshot) HasMove(id string) bool { return s.moveIDs[id] }

// LimitOf returns the limit of a workspace on an entry.
func (s *Snapshot) LimitOf(entry, workspace string) (Limit, bool) {
	l, ok := s.limits[limitKey{entry, workspace}]
	return l, ok
}
