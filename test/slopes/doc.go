// Command slopes measures how the cost of the routers grows with routers, requests, teams and engines. docs/CAPACITY.md
// works the target size out from its figures. Its last line is one JSON object.
package main
