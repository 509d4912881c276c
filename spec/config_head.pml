/*
 * Head of the configuration: a hash chain to which operators append by
 * compare-and-swap. Two operators approve at the same time, two instances
 * adopt newer generations from the store or from a peer, and the store may be
 * unreachable.
 *
 * Each define removes one guard:
 *   NO_COMPARE   the head is overwritten without comparing its version
 *   TAKE_ANY     an instance adopts a received generation even if it is older
 *   NO_CHAIN     an instance does not verify the hash chain of a received
 *                record
 */
#define OPERATORS 2
#define INSTANCES 2
#define MAX_GENERATION 2
#define FORGED 9
#define MAX_STEPS 2

/* Author of each generation in the store's chain; generation 0 is the initial
 * one. */
byte chain[4];
byte head = 0;
bool is_down = false;

byte in_force[INSTANCES];
byte author[INSTANCES];
/* Approvals that were confirmed to an operator, by generation. */
byte accepted_author[4];
bool is_accepted[4];

proctype Operator(byte id) {
  byte seen;
  byte tries = 0;
  do
  :: tries < 2 && !is_down ->
     tries++;
     seen = head;
     if
     :: seen >= MAX_GENERATION -> break
     :: else -> skip
     fi;
     atomic {
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: head == seen ->
#endif
          chain[seen + 1] = id;
          head = seen + 1;
          if
          :: /* The reply arrives: the operator sees its approval confirmed. */
             assert(!is_accepted[seen + 1]);
             is_accepted[seen + 1] = true;
             accepted_author[seen + 1] = id
          :: /* The reply is lost: the next read shows the result. */
             skip
          fi
#ifndef NO_COMPARE
         :: else -> skip /* Conflict: the operator is shown the difference. */
#endif
       fi
     }
  :: tries < 2 && is_down -> tries++
  :: tries >= 2 -> break
  od
}

inline take(id, generation, by) {
  atomic {
    if
#ifdef TAKE_ANY
    :: true ->
#else
    :: generation > in_force[id] ->
#endif
       assert(generation >= in_force[id]);
       in_force[id] = generation;
       author[id] = by
#ifndef TAKE_ANY
    :: else -> skip
#endif
    fi
  }
}

proctype Instance(byte id) {
  byte steps = 0;
  byte generation;
  byte by;
  byte peer;
  do
  :: steps < MAX_STEPS ->
     atomic { steps++; generation = 0; by = 0; peer = 0 };
     if
     :: !is_down -> /* Reads from the store. */
        atomic { generation = head; by = chain[head] };
        take(id, generation, by)
     :: /* Receives a message from a peer; it may be outdated. */
        peer = (id + 1) % INSTANCES;
        atomic { generation = in_force[peer]; by = author[peer] };
        take(id, generation, by)
     :: /* Receives a forged record, which is not part of the chain. */
        generation = MAX_GENERATION;
        by = FORGED;
#ifdef NO_CHAIN
        take(id, generation, by)
#endif
     fi
  :: steps >= MAX_STEPS -> break
  od
}

proctype Store() {
  is_down = true;
  is_down = false
}

init {
  byte n;
  byte m;
  atomic {
    run Store();
    run Operator(1);
    run Operator(2);
    run Instance(0);
    run Instance(1)
  }
  (_nr_pr == 1);
  for (n : 0 .. INSTANCES - 1) {
    assert(author[n] == chain[in_force[n]])
    assert(in_force[n] <= head)
  }
  for (m : 1 .. MAX_GENERATION) {
    if
    :: is_accepted[m] -> assert(chain[m] == accepted_author[m])
    :: else -> skip
    fi
  }
}
