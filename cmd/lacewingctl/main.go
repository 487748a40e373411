// Command lacewingctl is part of lacewingpier.
package main

func main() {}
