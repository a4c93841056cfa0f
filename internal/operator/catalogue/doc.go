// Package catalogue holds the operators' declarations: workspaces, entries and
// the version moves that follow from them.
//
// Operators write YAML, which Parse reads strictly; the store and the peers
// carry the canonical JSON of Encode and Decode. Both forms pass the same
// checks, so an instance never takes a catalogue that an operator could not
// have applied.
package catalogue
