// Package config brings the catalogue from the store to every instance and
// keeps it from reverting.
package config
