// Command primrose-quickstart brings up the whole path in one process on loopback, with embedded stand-ins for the
// outside systems, sends requests through it and prints what came back.
package main

import "fmt"

func main() {
	fmt.Println("primrose-quickstart: no part is wired up yet")
}
