// Package settings holds the configuration of a deployment and reads it from INI: one base file with an overlay for
// each site.
package settings
