// Package settings defines the settings of an entry instance and checks them
// as a whole. docs/operate/settings.md lists them for operators.
package settings
