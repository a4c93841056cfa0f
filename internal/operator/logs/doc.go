// Package logs writes log lines without ever making the caller wait.
package logs
