// Command slopes measures how the resource use of the routers grows with the numbers of routers, requests, teams and
// engines. docs/CAPACITY.md derives the target size from these figures. The last line of the output is one JSON object.
package main
