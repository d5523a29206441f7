// Package poison finds what in requests crashes backend servers, and decides which requests may be sent. Requests of this
// kind are known as poison messages or queries of death: each one ends the server that begins to run it, and the next one
// ends the next server.
//
// # Fingerprints
//
// Evidence is kept about fingerprints, of which a request has several: one of each shared part of its prompt, and one of
// the request as a whole. Two requests are the same as a whole if team, method, host, target, prompt and body are equal. The
// last part of a prompt belongs to one request or session and has no fingerprint of its own.
//
// # Evidence
//
// A crash of a server ends all requests on it. A request that had received events for minProofTime is not the cause:
// the server had written its response. All others are candidates, and so are their fingerprints.
//
// Two observations decide between the candidates:
//
//   - A crash counts against a fingerprint of a request that had just begun. Each incarnation of a server counts once,
//     whichever and however many routers saw its end.
//   - A proof takes all of that back: a request with the fingerprint received a whole response, with any status, or events
//     for minProofTime. What crashes servers never has one. A proof also covers the crashes of the following proofWindow,
//     so that a part in frequent use never comes under suspicion.
//
// Sound requests share parts with the poisonous ones, and those parts get proofs. What is left without a proof is what
// only the poisonous requests have.
//
// A crash is confirmed by a refused connection. If another process holds the port of a server that has ended, it is
// confirmed by new connections that are closed at once, provided that no earlier connection of this router to the server
// is left. A connection that is reset while its server lives, one that leaves, and a router's own link are no crashes.
//
// A crash that connections do not show is found when the server's entry names a later start: the server hung, or its port
// went on to accept connections. The candidates are the requests without a whole response that were sent before it fell
// silent, however they ended. Silence alone is no crash, since links fail in the same way. The time of such a crash is
// known within Span only, and crashes that may be of one moment count as one.
//
// # States
//
// A fingerprint with a crash and no later proof is suspected. Requests with it are sent one at a time in the whole fleet,
// each as a trial: to a random one of the servers with the fewest other requests, without a substitute. A trial ends with
// a proof or with the next crash, so it distinguishes a sound fingerprint from a poisonous one within one request. Trials of
// two fingerprints may be sent at the same moment by two routers; on one server they would tell nothing. Requests that come
// meanwhile wait for a short time for the outcome of a trial.
//
// A fingerprint is blocked after minCrashes crashes. To exclude other causes of crashes, they must
//
//   - be of at least two moments: servers that end together (a failure domain, a release, all servers of a service) are
//     one event;
//   - be at two addresses or more, unless there are many: a place at which every server ends is no evidence;
//   - come while other requests are proven at the same service, unless there are many: servers that end under any load
//     are no evidence either;
//   - not be explained by another request on the server: one with a suspect that has more crashes.
//
// A service may have so few servers that one request ends all of them at one moment, and that nothing else is proven.
// A trial that follows the crash of another trial therefore waits for the proof of any other request for up to
// controlWait, which is what the servers that have returned are used for first.
//
// A fingerprint is blocked for the teams whose requests were on the crashed servers, and for all teams once two teams
// alone have crashed servers with it. For other teams it is suspected. A team can thus not block a part of others by adding
// it to its own requests; a request as a whole has its team in the fingerprint.
//
// # How parts and whole requests meet
//
// The fingerprint with the most crashes decides about a request. A poisonous part is in many requests: it collects the
// crashes of all of them, while each whole request has one, and the part decides. A poisonous request that comes again
// collects all crashes as a whole, and its parts at most as many: then the whole decides, and the parts are tried with other
// requests.
//
// Sound requests that share the parts are not held for it: a part is blocked only if nothing else explains the crashes. If
// one whole request was in all of them, or another part without a proof in each, a request without those is sent as a trial,
// until there are many crashes, and after a short time then: it tells which one is the cause.
//
// A request that a server may have run is sent to another one as a trial if only the whole request is suspected. All
// requests on a crashed server are suspected in this way, and all but one are sound.
//
// # The fleet
//
// The evidence is a set of crashes and the time of the last proof for each fingerprint. Merging takes the union and the
// later time, so it does not depend on the order or the number of messages. A router sends new evidence to all others at
// once, and its table to a few random ones several times a second while it has recent entries, so that lost datagrams,
// restarts and partitions are made up for. Without crashes nothing is sent, and large bodies are not hashed. Times travel as
// ages and are kept on a clock that includes suspension.
//
// The trials of a fingerprint are granted by one router, its owner by rendezvous hashing over the live routers. If the
// owner does not answer, a router grants itself a trial after a single crash, and none after more. Evidence of other routers
// is believed as it is; it is lost when all routers end at once, and three further crashes are needed then.
//
// # The end of a block
//
// While requests with the fingerprint come, blockPeriod after the last crash one request is sent as a trial, and after each
// further crash the period doubles. After maxRetrials crashes that were not on their way at the time of the third one there
// are no more trials until no such request has come for idlePeriod. A proof, or an operator, lifts the block.
package poison
