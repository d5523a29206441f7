package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Options configure a Scheduler.
type Options struct {
	Shard ident.ShardID
	// Siblings is the number of shards of the pool, this one included. 0 means 1.
	Siblings int
	// Epoch is the incarnation of the dispatcher. It becomes the fence of grants and the epoch of service deltas.
	Epoch uint64
	// ReportsAfter is the highest number of a service delta that an earlier scheduler of this shard and epoch may have
	// used. Siblings ignore numbers that they have seen.
	ReportsAfter uint64
	// Generation is the configuration in force at the start.
	Generation ident.Generation
	// Seed varies how equally good backend servers are chosen.
	Seed uint64
}

// Defaults of TeamLimits.
const (
	// DefaultWeight is the weight of a team without one.
	DefaultWeight = 1.0
	// DefaultMaxQueued bounds the waiting requests of a team without a limit.
	DefaultMaxQueued = 256
)

// maxShardQueued is the number of waiting requests from which teams with more than an even part of it are rejected: about
// 25 MB. Without it, 1,100 full queues of a shard would take 100 MB.
const maxShardQueued = 1 << 16

// Times of grants.
const (
	// GrantTimeout releases a grant after this time without Progress or Settle: three progress intervals of 2 s.
	GrantTimeout = 6 * time.Second
	// lostRetention keeps a released grant, so that a late Progress or Settle is still accounted.
	lostRetention = 60 * time.Second
	// settledRetention keeps the end of an attempt, so that late duplicates of its messages are recognised.
	settledRetention = 30 * time.Second
	// maxSettled bounds the remembered ends of attempts.
	maxSettled = 1 << 16
	// handoverWindow is the time after the start in which requests of the former dispatcher are re-enqueued.
	handoverWindow = 30 * time.Second
	// goneRetention keeps the incarnation of a router that is gone, so that its late messages are ignored.
	goneRetention = 10 * time.Minute
)

// Times and limits of backend servers.
const (
	// unknownSlots is the limit of a backend server that has never reported and has no configured slots.
	unknownSlots = 4
	// shortRunMS is the mean run time, in milliseconds, below which a backend server gets one request more than its
	// reported slots. The extra request saves a round trip per slot and run, but waits in the engine, out of fair order,
	// for a slots-th of a run. In simulation, runs of 70 ms gain 1.5 % of utilisation and runs of 7 s nothing, while
	// small teams then wait six times as long.
	shortRunMS = 200
	// reportStale is the age from which a load report is no longer used.
	reportStale = 5 * time.Second
	// absurdFactor marks reports of more than this many times the known slots as wrong.
	absurdFactor = 4
	// maxReportedSlots bounds reported slots of a backend server without configured slots.
	maxReportedSlots = 4096
	// rampStart is the in-flight limit of a backend server that appears or returns.
	rampStart = 2
	// ejectFailures is the number of consecutive connection failures that eject a backend server.
	ejectFailures = 3
	// probeDelayMin is the time from ejection to the first probe. It doubles per failed probe.
	probeDelayMin = 1 * time.Second
	// probeDelayMax bounds the time between probes.
	probeDelayMax = 30 * time.Second
)

// Exchange between the shards of a pool.
const (
	// Quantum is the unreported service of a team, in cost units, that makes a shard with few siblings report it.
	Quantum ident.Cost = 1000
	// quantumSiblings is the number of siblings from which the quantum grows with their number. Each report goes to
	// every sibling, so a fixed quantum at 17 shards of full engines took 6 KB/s a router, twice the whole budget.
	quantumSiblings = 3
	// announceInterval is the time between announcements of free slots.
	announceInterval = 500 * time.Millisecond
	// announceFanOut is the number of siblings per announcement. It bounds the traffic of an idle shard.
	announceFanOut = 4
)

// Estimates of request costs.
const (
	// ratioMin and ratioMax bound the learned ratio of actual cost to hint.
	ratioMin = 1.0 / 16
	ratioMax = 16.0
	// learnDecay is the weight of the past when a team's ratio and mean cost are learned.
	learnDecay = 15.0 / 16
	// unknownCost is the estimate before anything was learned, in cost units: a short answer of a model.
	unknownCost ident.Cost = 256
	// maxCost bounds reported costs and hints, so that sums cannot overflow.
	maxCost ident.Cost = 1 << 40
)

// Retry advice, in milliseconds.
const (
	retryAfterMinMS = 1_000
	retryAfterMaxMS = 30_000
)
