/*
 * Publishing and propagation of the configuration: the head in the store changes by CompareAndSwap; router 0 watches
 * it and router 1 pulls from router 0; routers restart empty.
 *
 * Faults: FAULTS writes lose their answer and take effect at once, later or never; RESTARTS routers restart empty.
 *
 * Safety (assertions): the generation in a holder never decreases, and a router that serves again after a restart
 * serves no lower generation than before; each generation is one publication; a publisher reports neither a success
 * without an effect nor a conflict although it had one.
 * Liveness (ltl converges): when publishing is over, all routers reach the head.
 *
 * Mistakes selected with -D that must be found:
 *   ADVANCE_ANY     a holder accepts lower generations
 *   SERVE_EMPTY     a restarted router serves before it has read the store
 *   LOST_IS_FAILED  a conflict after a lost answer is reported as a failure without reading back
 */

#define ROUTERS 2
#define PUBLISHERS 2
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define NOBODY 255

mtype = { Ok, Conflict, Uncertain }

byte head = 0;
byte headID = NOBODY;          /* the publish id of the head */
byte history[PUBLISHERS + 1];  /* the publish id of each generation, plus 1 */
bool effect[PUBLISHERS];       /* the publication took effect */
byte faults = FAULTS;
byte restarts = RESTARTS;
bool late[PUBLISHERS];
byte lateBase[PUBLISHERS];

byte gen[ROUTERS];             /* what the holder has */
byte served[ROUTERS];          /* the highest generation that the router has served, restarts included */
bool serving[ROUTERS];

inline Write(p) {
  head++; headID = p;
  assert(history[head] == 0);
  history[head] = p + 1; effect[p] = true
}

inline CompareAndSwap(p, expect) {
  atomic {
    if
    :: head != expect -> res = Conflict
    :: head == expect -> Write(p); res = Ok
    :: head == expect && faults > 0 -> faults--; Write(p); res = Uncertain
    :: faults > 0 && !late[p] -> faults--; late[p] = true; lateBase[p] = expect; res = Uncertain
    fi
  }
}

proctype Publisher(byte p) {
  mtype res;
  byte base;
  bool lost = false;
  base = head;
publish:
  CompareAndSwap(p, base);
  if
  :: res == Ok -> assert(effect[p])
#ifdef LOST_IS_FAILED
  :: res == Conflict -> assert(!effect[p])
#else
  :: res == Conflict && !lost -> assert(!effect[p])
  :: res == Conflict && lost -> goto readBack
#endif
  :: res == Uncertain -> lost = true; goto readBack
  fi;
  goto over;
readBack:
  atomic {
    if
    :: headID == p -> assert(effect[p])
    :: headID != p && head == base -> goto publish
    :: headID != p && head != base /* replaced, or never in effect: the outcome is reported as unknown */
    fi
  };
over:
  skip
}

inline Apply(p) {
  if
  :: head == lateBase[p] -> Write(p)
  :: else
  fi
}

/* LateWrites lets writes without an answer take effect late, or never. */
proctype LateWrites() {
  byte p;
end:
  do
  :: atomic { late[0] -> late[0] = false; p = 0; Apply(p) }
  :: atomic { late[1] -> late[1] = false; p = 1; Apply(p) }
  :: atomic { late[0] -> late[0] = false }
  :: atomic { late[1] -> late[1] = false }
  od
}

inline Serve(r) {
  if
  :: serving[r] -> assert(gen[r] >= served[r] && gen[r] <= head); served[r] = gen[r]
  :: else
  fi
}

inline Advance(r, g) {
  atomic {
    if
#ifdef ADVANCE_ANY
    :: true -> gen[r] = g
#else
    :: g > gen[r] -> gen[r] = g
    :: else
#endif
    fi;
    Serve(r)
  }
}

proctype Router(byte r) {
  byte got;
end:
  do
  :: (r == 0 && head != gen[r]) || !serving[r] ->
     got = head;
     atomic { serving[r] = true; Advance(r, got) }
  :: gen[1 - r] > gen[r] ->
     got = gen[1 - r];
     Advance(r, got)
  :: atomic { restarts > 0 ->
       restarts--; gen[r] = 0; got = 0;
#ifdef SERVE_EMPTY
       Serve(r)
#else
       serving[r] = false
#endif
     }
  od
}

init {
  atomic {
    run Publisher(0);
    run Publisher(1);
    run LateWrites();
    run Router(0);
    run Router(1)
  }
}

ltl converges { <> [] (gen[0] == head && gen[1] == head) }
