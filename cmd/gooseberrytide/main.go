// Command gooseberrytide is the operator tool.
package main

func main() {}
