// Command wasabiworks runs an entry instance and serves its operators.
package main

func main() {}
