// Package settings defines and checks the settings of the commands serve and
// forward. docs/operate/settings.md and docs/operate/forward-settings.md list
// them for operators.
package settings
