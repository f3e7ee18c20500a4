// Command jujubectl is the operators' command-line client.
package main

func main() {}
