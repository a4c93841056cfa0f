// Package catalogue holds the operators' declarations: workspaces, entries and
// the version moves that follow from them.
package catalogue
