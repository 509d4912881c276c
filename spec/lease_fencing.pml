/*
 * Lease and fencing of placement orders. Two entries take turns as holder; a
 * holder may be paused at any point, and its order may travel for some time.
 * Time is counted in ticks; a lease lasts TTL ticks at the store.
 *
 * Engines: CHECKING engines refuse an order whose fencing number is below the
 * highest seen. The others take every order; there safety rests on stopping
 * early, checking right before sending and waiting out the old holder.
 *
 * Guards that a broken variant takes out:
 *   NO_FENCING   with CHECKING: the engine takes old numbers after all
 *   NO_CHECK     the lease is not checked again right before sending
 *   NO_MARGIN    the holder acts until the very end of the lease
 *   NO_WAIT      the new holder does not wait out the old one's longest delay
 */
#define TTL 4
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 2
#endif
#define DELAY 3
/* A clock may be behind by this much over one lease. */
#define DRIFT 1
#define MAX_TIME 13
#define NONE 255

byte now = 0;

/* The lease at the store. */
byte holder = NONE;
byte fence = 0;
byte lease_end = 0;

/* One order on its way. */
bool is_travelling[2];
byte order_fence[2];
byte order_deadline[2];

/* The engine. */
byte highest = 0;
byte last_taken = 0;

/* What the entry believes. */
byte own_fence[2];
byte valid_until[2];
byte acts_from[2];

inline deliver(n) {
  atomic {
    is_travelling[n] ->
    is_travelling[n] = false;
#if defined(CHECKING) && !defined(NO_FENCING)
    if
    :: order_fence[n] >= highest ->
       highest = order_fence[n];
       assert(order_fence[n] >= last_taken);
       last_taken = order_fence[n]
    :: else -> skip
    fi
#else
    /* An old order that takes effect after a newer one. */
    assert(order_fence[n] >= last_taken);
    last_taken = order_fence[n]
#endif
  }
}

/*
 * Time passes, at most one tick at a time. An order arrives within DELAY of
 * being sent; with CHECKING it may take for ever.
 */
active proctype World() {
end:
  do
  :: atomic {
       now < MAX_TIME &&
#ifdef CHECKING
       true ->
#else
       !(is_travelling[0] && order_deadline[0] <= now) &&
       !(is_travelling[1] && order_deadline[1] <= now) ->
#endif
       now++;
       if
       :: holder != NONE && lease_end <= now -> holder = NONE
       :: else -> skip
       fi
     }
  :: deliver(0)
  :: deliver(1)
  od
}

proctype Entry(byte id) {
  byte sent_at;
  byte steps = 0;
end:
  do
  :: atomic {
       /* Takes the free lease; time runs from before the request. */
       holder == NONE && steps < 4 ->
       steps++;
       sent_at = now;
       holder = id;
       fence++;
       lease_end = now + TTL;
       if
       :: /* The reply is lost: the lease ends by itself. */
          own_fence[id] = 0;
          valid_until[id] = 0
       :: own_fence[id] = fence;
          valid_until[id] = sent_at + TTL - MARGIN;
#ifdef NO_WAIT
          acts_from[id] = now
#else
          acts_from[id] = now + DELAY
#endif
       fi
     }
  :: atomic {
       /* Renews. */
       holder == id && own_fence[id] == fence && steps < 4 ->
       steps++;
       lease_end = now + TTL;
       valid_until[id] = now + TTL - MARGIN
     }
  :: /* Decides to send an order; a pause may follow the decision. */
     atomic {
       own_fence[id] != 0 && now >= acts_from[id] && now < valid_until[id] + DRIFT &&
       !is_travelling[id]
     };
#ifdef NO_CHECK
     /* The pause: time may pass here. */
     atomic {
       is_travelling[id] = true;
       order_fence[id] = own_fence[id];
       order_deadline[id] = now + DELAY
     }
#else
     atomic {
       if
       :: own_fence[id] != 0 && now >= acts_from[id] &&
          now < valid_until[id] + DRIFT ->
          is_travelling[id] = true;
          order_fence[id] = own_fence[id];
          order_deadline[id] = now + DELAY
       :: else -> skip
       fi
     }
#endif
  od
}

init {
  atomic {
    run Entry(0);
    run Entry(1)
  }
}
