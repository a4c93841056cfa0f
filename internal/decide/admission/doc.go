// Package admission decides what happens to requests for which an instance has no usable
// backend server: which of them is sent first when a server becomes usable, how long one
// is held, which is refused when there are too many, and when its client should retry.
//
// All decisions are functions of plain values, with the time and random numbers as
// arguments. The caller synchronizes the calls.
package admission
