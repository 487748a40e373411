// Command lacewing-entry is part of lacewingpier.
package main

func main() {}
