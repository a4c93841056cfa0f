// Package catalogue defines the configuration that operators declare,
// consisting of workspaces and entries, and derives version moves from changes
// to it.
//
// Operators write YAML, which Parse reads strictly. The store and the peers
// exchange the canonical JSON that Encode writes and Decode reads. Both formats
// are validated by the same rules, so an instance never accepts a catalogue
// that an operator could not have applied.
package catalogue
