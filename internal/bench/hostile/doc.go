// Package hostile plays clients that try to exhaust an instance against real processes of
// wasabiworks forward and wasabiworks serve, and checks that each process lives, stays
// within its memory and descriptors, and answers an ordinary request afterwards.
package hostile
