package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Options configures a Scheduler.
type Options struct {
	Shard ident.ShardID
	// Siblings is the number of shards of the pool, this one included. 0 means 1.
	Siblings int
	// Epoch is the incarnation of the dispatcher. It becomes the fence of grants and the epoch of service deltas.
	Epoch uint64
	// DeltaSeqBase is the highest sequence number that an earlier scheduler of this shard and epoch may have given to a
	// service delta. Numbering continues above it, because siblings ignore sequence numbers that they have seen.
	DeltaSeqBase uint64
	// Generation is the generation of the configuration in force at the start.
	Generation ident.Generation
	// Seed varies the choice between equally suitable backend servers.
	Seed uint64
}

// Defaults of TeamLimits.
const (
	// DefaultWeight is the weight of a team that has none configured.
	DefaultWeight = 1.0
	// DefaultMaxQueued is the maximum number of queued requests of a team that has no limit configured.
	DefaultMaxQueued = 256
)

// maxShardQueued is the number of queued requests in a shard, about 25 MB, from which further requests of teams that
// hold an equal share of it or more are rejected. Without it, 1,100 full queues of a shard would take 100 MB.
const maxShardQueued = 1 << 16

// Timeouts and retention of grants and attempts.
const (
	// GrantTimeout is the time without Progress or Settle after which a grant is released: three progress intervals of
	// 2 s.
	GrantTimeout = 6 * time.Second
	// expiredGrantRetention is how long a released grant is kept, so that a late Progress or Settle is still accounted.
	expiredGrantRetention = 60 * time.Second
	// outcomeRetention is how long the outcome of an attempt is kept, so that late duplicates of its messages are
	// recognised.
	outcomeRetention = 30 * time.Second
	// maxOutcomes is the maximum number of outcomes kept.
	maxOutcomes = 1 << 16
	// handoverWindow is the time after the start in which requests of the former dispatcher are enqueued again.
	handoverWindow = 30 * time.Second
	// tombstoneRetention is how long the incarnation of a router that is gone is kept, so that its late messages are
	// ignored.
	tombstoneRetention = 10 * time.Minute
)

// Times and limits of backend servers.
const (
	// defaultSlots is the limit of a backend server that has never reported and has no configured slots.
	defaultSlots = 4
	// shortRunMS is the mean run time, in milliseconds, below which a backend server gets one request more than its
	// reported slots. The extra request saves a round trip per slot and run, but waits in the engine, out of fair order,
	// for one run time divided by the number of slots. In simulation, runs of 70 ms gain 1.5 % of utilisation and runs
	// of 7 s nothing, while small teams then wait six times as long.
	shortRunMS = 200
	// reportMaxAge is the age from which a load report is no longer used.
	reportMaxAge = 5 * time.Second
	// implausibleFactor is the multiple of the known slots above which a reported number is rejected as wrong.
	implausibleFactor = 4
	// maxReportedSlots is the largest accepted number of slots in a load report.
	maxReportedSlots = 4096
	// rampStart is the in-flight limit of a new or returning backend server.
	rampStart = 2
	// ejectFailures is the number of consecutive connection failures that eject a backend server.
	ejectFailures = 3
	// probeDelayMin is the time from ejection to the first probe. The delay doubles with each failed probe.
	probeDelayMin = 1 * time.Second
	// probeDelayMax is the longest time between probes.
	probeDelayMax = 30 * time.Second
)

// Parameters of the exchange of service deltas and free slots between the shards of a pool.
const (
	// Quantum is the size of a team's pending delta, in cost units, at which a shard with at most quantumSiblings
	// siblings sends it to them.
	Quantum ident.Cost = 1000
	// quantumSiblings is the number of siblings above which the quantum grows in proportion to their number. A service
	// delta goes to every sibling, so a fixed quantum at 17 shards of full engines took 6 KB/s per router, twice the
	// whole budget.
	quantumSiblings = 3
	// maxAnnounceInterval is the longest time between announcements of free slots, minAnnounceInterval the shortest.
	// Between the two the interval is the mean run time multiplied by announceRunFraction: short runs free slots faster
	// than one announcement every 500 ms fills them.
	maxAnnounceInterval = 500 * time.Millisecond
	minAnnounceInterval = 100 * time.Millisecond
	announceRunFraction = 0.1
	// announceFanOut is the maximum number of siblings told per announcement. It bounds the traffic of an idle shard.
	announceFanOut = 4
)

// Parameters of cost estimates.
const (
	// ratioMin and ratioMax bound the learned ratio of actual cost to hint.
	ratioMin = 1.0 / 16
	ratioMax = 16.0
	// learnDecay is the decay factor of moving sums and means: the weight of earlier values when a new one is added.
	learnDecay = 15.0 / 16
	// defaultCost is the estimate before anything was learned, in cost units: a short answer of a model.
	defaultCost ident.Cost = 256
	// maxCost is the largest cost or hint accepted from a message, in cost units, so that sums cannot overflow.
	maxCost ident.Cost = 1 << 40
)

// Range of the retry delay in rejects, in milliseconds.
const (
	retryAfterMinMS = 1_000
	retryAfterMaxMS = 30_000
)
