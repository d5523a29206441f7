// Command gooseberrytided is the router daemon.
package main

func main() {}
