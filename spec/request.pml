/*
 * Core protocol of a request: Claim, Enqueue, Grant, Send, Settle, Cancel, Finish, Abandon, and the hand-over of a
 * shard from one dispatcher to another.
 *
 * Ingresses 0 and 1 get a call with the same idempotency key; further ingresses get idempotent requests, which need no
 * claim. There is one slot at the backend server. A pause of a process is any long step of the others.
 *
 * Faults: FAULTS store calls that fail, or lose their answer and take effect at once, later or never; DEATHS ingresses
 * that end; dispatcher 0 may end or go on after the hand-over.
 *
 * Safety (assertions): a key runs at most once; a request answered not-run does not run, before or after.
 * Liveness (ltl answered): a queued request is granted or answered, or its ingress ends.
 *
 * Mistakes selected with -D that must be found:
 *   CLAIM_AFTER_SEND  the claim is written after the call was sent
 *   TAKE_OVER         an open claim is taken over because its holder seems gone
 *   LATE_GRANT        a grant that comes after the cancellation is used
 *   NOT_RUN_ON_BREAK  a broken answer is reported as not-run
 *   NO_REENQUEUE      requests are not enqueued again after a hand-over (liveness)
 */

#ifndef N
#define N 2
#endif
#ifndef KEYED
#define KEYED 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#define DISPATCHERS 2
#define SLOTS 1
/* Enqueue, Cancel, Running and Settle of each ingress fit in. */
#define BACKLOG (4 * N)

mtype = { Absent, Open, Done, RecordNotRun };    /* states of a claim's record */
mtype = { Ok, Conflict, Uncertain, Unavailable } /* results of a store call */
mtype = { Unanswered, Completed, NotRun, Unknown } /* outcomes */
mtype = { Enqueue, Running, Cancel, Settle, Grant }

/* The store: one record. */
mtype record = Absent;
byte holder = 255;
byte revision = 0;
byte faults = FAULTS;

/* Writes without an answer that may take effect later, by ingress. */
bool late[N];
byte lateExpect[N];
mtype lateRecord[N];

chan toDispatcher[DISPATCHERS] = [BACKLOG] of { mtype, byte };
chan toIngress[N] = [4] of { mtype, byte };

byte owner = 0; /* the dispatcher that ingresses see as the shard's owner */
byte deaths = DEATHS;
byte executions = 0; /* of the key */
bool dead[N];
bool queued[N];
bool ran[N];
mtype outcome[N];

inline Write(i, state) {
  record = state; holder = i; revision++
}

/* CompareAndSwap leaves its result in res. */
inline CompareAndSwap(i, expect, state) {
  atomic {
    if
    :: revision != expect -> res = Conflict
    :: revision == expect -> Write(i, state); res = Ok
    :: revision == expect && faults > 0 -> faults--; Write(i, state); res = Uncertain
    :: faults > 0 && !late[i] ->
       faults--; late[i] = true; lateExpect[i] = expect; lateRecord[i] = state; res = Uncertain
    :: faults > 0 -> faults--; res = Unavailable
    fi
  }
}

/* Get leaves a copy of the record in seen, seenHolder and expect, or res = Unavailable. */
inline Get() {
  atomic {
    if
    :: seen = record; seenHolder = holder; expect = revision; res = Ok
    :: faults > 0 -> faults--; res = Unavailable
    fi
  }
}

inline Answer(i, o) {
  atomic {
    assert(outcome[i] == Unanswered);
    outcome[i] = o; queued[i] = false;
    assert(!(o == NotRun && ran[i]))
  }
}

inline Send(i) {
  atomic {
    ran[i] = true;
    assert(outcome[i] != NotRun);
    if
    :: i < KEYED -> executions++; assert(executions <= 1)
    :: else
    fi
  }
}

/* Clear forgets a copy of the record that is not needed any more, so that states with different copies are one. */
inline Clear() {
  res = Ok; seen = Absent; expect = 0; seenHolder = 255
}

inline MayDie(i) {
#if DEATHS > 0
  if
  :: atomic { deaths > 0 -> deaths--; dead[i] = true; queued[i] = false; goto over }
  :: true
  fi
#else
  skip
#endif
}

/* Record replaces the own open claim's record. It gives up when the record is not its own any more. */
inline Record(i, state) {
  do
  :: Get();
     if
     :: res == Unavailable
     :: res == Ok && !(seen == Open && seenHolder == i) -> break
     :: else ->
        CompareAndSwap(i, expect, state);
        if
        :: res == Ok -> break
        :: else
        fi
     fi
  od
}

proctype Ingress(byte i) {
  mtype res, seen = Absent;
  byte expect = 0, seenHolder = 255;
  byte sentTo = 255, from = 255, other;
#ifdef LIVENESS
  bool expires = false; /* the deadline may pass while the request waits */
#endif
  bool opened = false;  /* the claim's write was begun */

#ifdef LIVENESS
  if
  :: expires = true
  :: true
  fi;
#endif
#ifndef CLAIM_AFTER_SEND
  if
  :: i >= KEYED -> goto enqueue
  :: else
  fi;
#else
  goto enqueue;
#endif

claim:
  Get();
  if
  :: res == Unavailable && !opened -> Answer(i, NotRun); goto over
  :: res == Unavailable && opened -> Answer(i, NotRun); goto abandon
  :: res == Ok && seen == Done -> Answer(i, Completed); goto over
  :: res == Ok && seen == Open && seenHolder == i -> goto claimed /* settled by reading back */
  :: res == Ok && seen == Open && seenHolder != i ->
     if
     :: record != Open -> goto claim
     :: true -> Answer(i, Unknown); goto over
#ifdef TAKE_OVER
     :: true
#endif
     fi
  :: res == Ok && (seen == Absent || seen == RecordNotRun)
  fi;
  opened = true;
  CompareAndSwap(i, expect, Open);
  if
  :: res == Ok
  :: res == Conflict || res == Uncertain -> goto claim
  :: res == Unavailable -> Answer(i, NotRun); goto abandon
  fi;

claimed:
#ifdef CLAIM_AFTER_SEND
  goto finish;
#endif
  MayDie(i);

enqueue:
  atomic { Clear(); sentTo = owner; queued[i] = true };
  toDispatcher[sentTo]!Enqueue(i);
  do
  :: atomic { toIngress[i]?Grant(from) -> queued[i] = false }; break
#ifndef NO_REENQUEUE
  :: atomic { owner != sentTo -> sentTo = owner }; toDispatcher[sentTo]!Enqueue(i)
#endif
#ifdef LIVENESS
  :: expires -> goto cancel
#else
  :: goto cancel
#endif
  od;
  MayDie(i);
  if
  :: true
  :: Answer(i, NotRun); toDispatcher[from]!Settle(i); goto abandon /* connection refused */
  fi;

  Send(i);
  MayDie(i);
  sentTo = from;
  if
  :: owner != sentTo -> sentTo = owner; toDispatcher[sentTo]!Running(i)
  :: true
  fi;
  toDispatcher[sentTo]!Settle(i);
  if
  :: i >= KEYED -> Answer(i, Completed); goto over
  :: i < KEYED
#ifdef NOT_RUN_ON_BREAK
  :: i < KEYED -> Answer(i, NotRun); goto over
#endif
  :: i < KEYED -> Answer(i, Unknown); goto over /* the answer is broken; the claim stays open */
  fi;
#ifdef CLAIM_AFTER_SEND
  goto claim;
finish:
#endif
  Record(i, Done);
  Answer(i, Completed);
  goto over;

cancel: /* the request is out of the ingress's table before it is answered */
  Answer(i, NotRun);
  toDispatcher[sentTo]!Cancel(i);
#ifdef LATE_GRANT
  if
  :: toIngress[i]?Grant(from) -> Send(i)
  :: true
  fi;
#endif

abandon:
  if
  :: i < KEYED -> Record(i, RecordNotRun)
  :: else
  fi;

over: /* late grants are returned unused */
  skip;
  atomic { Clear(); sentTo = 255; opened = false };
end:
  do
  :: toIngress[i]?Grant(other) ->
     if
     :: !dead[i] && other != from -> toDispatcher[other]!Settle(i)
     :: else
     fi
  od
}

/* An expired grant: its ingress ended, answered without a Settle that arrived, or deals with another dispatcher. */
#define Expired(i) (granted[i] && (dead[i] || outcome[i] != Unanswered || owner != d))

#if N > 2
#define AnyWaiting (waiting[0] || waiting[1] || waiting[2])
#else
#define AnyWaiting (waiting[0] || waiting[1])
#endif

/* Choose grants the slot to any waiting request; the order of the fair queue is not part of the model. */
inline Choose(i) {
  if
  :: waiting[0] -> i = 0
  :: waiting[1] -> i = 1
#if N > 2
  :: waiting[2] -> i = 2
#endif
  fi;
  waiting[i] = false; granted[i] = true; inFlight++;
  toIngress[i]!Grant(d)
}

inline Release(i) {
  if
  :: granted[i] -> granted[i] = false; inFlight--
  :: else
  fi
}

proctype Dispatcher(byte d) {
  bool waiting[N], granted[N];
  byte inFlight = 0, i;
end:
  do
#ifdef LIVENESS
  :: d == 0 && owner != 0 -> goto gone /* it may end or go on; for safety, an end is a long pause */
#endif
  :: atomic { toDispatcher[d]?Enqueue(i) ->
       if
       :: granted[i] -> toIngress[i]!Grant(d)
       :: else -> waiting[i] = true
       fi; i = 0 }
  :: atomic { toDispatcher[d]?Running(i) ->
       waiting[i] = false;
       if
       :: !granted[i] -> granted[i] = true; inFlight++
       :: else
       fi; i = 0 }
  :: atomic { toDispatcher[d]?Cancel(i) -> waiting[i] = false; Release(i); i = 0 }
  :: atomic { toDispatcher[d]?Settle(i) -> waiting[i] = false; Release(i); i = 0 }
  :: atomic { inFlight < SLOTS && AnyWaiting -> Choose(i); i = 0 }
  :: atomic { Expired(0) -> Release(0) }
  :: atomic { Expired(1) -> Release(1) }
#if N > 2
  :: atomic { Expired(2) -> Release(2) }
#endif
  od;
#ifdef LIVENESS
gone:
end_gone:
  do
  :: toDispatcher[d]?_, _
  od
#endif
}

inline Apply(i) {
  if
  :: revision == lateExpect[i] -> Write(i, lateRecord[i])
  :: else
  fi
}

/* LateWrites lets writes without an answer take effect late, or never. */
proctype LateWrites() {
  byte i;
end:
  do
  :: atomic { late[0] -> late[0] = false; i = 0; Apply(i) }
  :: atomic { late[1] -> late[1] = false; i = 1; Apply(i) }
  :: atomic { late[0] -> late[0] = false }
  :: atomic { late[1] -> late[1] = false }
  od
}

/* HandOver makes dispatcher 1 the owner, and dispatcher 0 again with BACK. */
proctype HandOver() {
  owner = 1;
#ifdef BACK
  owner = 0
#endif
}

init {
  byte n = 0;
  atomic {
    do
    :: n < N -> outcome[n] = Unanswered; run Ingress(n); n++
    :: else -> break
    od;
    run Dispatcher(0);
    run Dispatcher(1);
    run LateWrites();
    run HandOver()
  }
}

/* The ingresses are alike, so one of them stands for all. */
ltl answered { [] (queued[0] -> <> !queued[0]) }
