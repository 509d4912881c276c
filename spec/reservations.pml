/*
 * Groups of reservations: two entries each try to reserve all the memory of
 * two engines. Requests and replies are lost, a request may arrive after its
 * sender stopped waiting, and entries crash. Engines free no memory by
 * themselves; sweepers release reservations that have expired.
 *
 * Each define removes one guard:
 *   ANY_ORDER      one entry reserves in the reverse order and waits for the
 *                  second engine while it holds the first (deadlock)
 *   KEEP_LOST      a reservation whose reply was lost is not released
 *   NO_SWEEP       expired reservations are never released
 */
#define ENGINES 2
#define ENTRIES 2
#define FREE 255

/* The entry that holds the memory of each engine. */
byte holder[ENGINES];
/* The holder no longer uses or renews the reservation. */
bool is_expired[ENGINES];

bool is_late[ENTRIES];
byte late_engine[ENTRIES];
byte late_count = 0;
byte crashes = 0;
bool is_gone[ENTRIES];
bool has_run[ENTRIES];

mtype = { taken, refused, doubtful };

inline reserve(id, engine, result) {
  atomic {
    if
    :: holder[engine] == FREE || holder[engine] == id ->
       holder[engine] = id;
       is_expired[engine] = false;
       result = taken
    :: holder[engine] != FREE && holder[engine] != id -> result = refused
    :: true -> /* The reply is lost. */
       if
       :: holder[engine] == FREE ->
          holder[engine] = id;
          is_expired[engine] = false
       :: else -> skip
       fi;
       result = doubtful
    :: /* The request is delayed and arrives later. */
       late_count < 1 && !is_late[id] ->
       late_count++;
       is_late[id] = true;
       late_engine[id] = engine;
       result = doubtful
    fi
  }
}

inline release(id, engine) {
  atomic {
    if
    :: holder[engine] == id -> holder[engine] = FREE
    :: else -> skip
    fi
  }
}

active proctype Network() {
end:
  do
  :: atomic {
       is_late[0] ->
       is_late[0] = false;
       if
       :: holder[late_engine[0]] == FREE ->
          holder[late_engine[0]] = 0;
          is_expired[late_engine[0]] = false
       :: else -> skip
       fi
     }
  :: atomic {
       is_late[1] ->
       is_late[1] = false;
       if
       :: holder[late_engine[1]] == FREE ->
          holder[late_engine[1]] = 1;
          is_expired[late_engine[1]] = false
       :: else -> skip
       fi
     }
  od
}

#ifndef NO_SWEEP
/* A reservation expires some time after its holder has gone, since nobody
 * renews it then. */
active proctype Sweeper() {
end:
  do
  :: atomic {
       holder[0] != FREE && is_gone[holder[0]] -> holder[0] = FREE
     }
  :: atomic {
       holder[1] != FREE && is_gone[holder[1]] -> holder[1] = FREE
     }
  od
}
#endif

proctype Entry(byte id) {
  byte first = 0;
  byte second = 1;
  byte tries = 0;
  mtype result;

#ifdef ANY_ORDER
  if
  :: id == 1 -> first = 1; second = 0
  :: else -> skip
  fi;
#endif

again:
  tries++;
  reserve(id, first, result);
  if
  :: result == taken -> skip
  :: else ->
#ifndef KEEP_LOST
     release(id, first);
#endif
     goto retry
  fi;
  if
  :: crashes < 1 -> crashes++; goto leave
  :: skip
  fi;
#ifdef ANY_ORDER
wait:
  /* Waits for the second engine while it holds the first. */
  (holder[second] == FREE || holder[second] == id);
#endif
  reserve(id, second, result);
  if
  :: result == taken -> skip
  :: else ->
#ifndef KEEP_LOST
     release(id, second);
     release(id, first);
#endif
     goto retry
  fi;
  assert(holder[0] == id && holder[1] == id);
  has_run[id] = true;
  release(id, second);
  release(id, first);
  goto finish;

retry:
  if
  :: tries < 3 -> goto again
  :: else -> skip
  fi;

finish:
  /* The entry holds nothing, except what a delayed request may reserve. */
  assert(late_count > 0 || (holder[0] != id && holder[1] != id));

leave:
  is_gone[id] = true
}

init {
  atomic {
    holder[0] = FREE;
    holder[1] = FREE;
    run Entry(0);
    run Entry(1)
  }
  (is_gone[0] && is_gone[1] && !is_late[0] && !is_late[1]);
  /* All memory becomes free, whichever messages were lost. */
  (holder[0] == FREE && holder[1] == FREE)
}
