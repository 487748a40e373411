// Command lacewing-agent is part of lacewingpier.
package main

func main() {}
