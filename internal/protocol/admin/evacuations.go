package admin

// PathEvacuations serves the evacuated failure domains, at the metrics address of a router on the users' platform. GET
// lists them.
const PathEvacuations = "/evacuations"

// Evacuation is an evacuated failure domain as one router knows it.
type Evacuation struct {
	Domain string `json:"domain"`
	// AgeMS is the time since this router learned of the evacuation, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Servers is the number of backend servers in the domain that the router knows.
	Servers int `json:"servers"`
}
