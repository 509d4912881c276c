/*
 * Lease and fencing of placement orders. Two entries take turns as holder of
 * the lease; a holder may be paused at any point, and its order may be in
 * flight for some time. Time is counted in ticks; a lease lasts TTL ticks at
 * the store.
 *
 * With CHECKING, engines refuse an order whose fencing number is below the
 * highest seen. Other engines accept every order. There, safety depends on the
 * holder: it stops some ticks before the lease ends and checks the lease right
 * before sending, and a new holder waits until no order of the previous one
 * can be in flight.
 *
 * Each define removes one guard:
 *   NO_FENCING   with CHECKING: the engine accepts old fencing numbers
 *   NO_CHECK     the lease is not checked again right before sending
 *   NO_MARGIN    the holder sends until the very end of the lease
 *   NO_WAIT      a new holder does not wait for the longest delay of an order
 *                of the previous holder
 */
#define TTL 4
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 2
#endif
#define DELAY 3
/* An entry's clock may lose this many ticks during one lease. */
#define DRIFT 1
#define MAX_TIME 13
#define NONE 255

byte now = 0;

/* The lease at the store. */
byte holder = NONE;
byte fence = 0;
byte lease_end = 0;

/* The order in flight from each entry. */
bool is_travelling[2];
byte order_fence[2];
byte order_deadline[2];

/* The engine. */
byte highest = 0;
byte last_taken = 0;

/* What each entry believes about its lease. */
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
    /* Fails if an old order takes effect after a newer one. */
    assert(order_fence[n] >= last_taken);
    last_taken = order_fence[n]
#endif
  }
}

/*
 * Advances time by one tick at a time and delivers orders. An order arrives
 * within DELAY ticks; with CHECKING its delay is unlimited.
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
       /* Acquires the free lease; its time counts from before the request. */
       holder == NONE && steps < 4 ->
       steps++;
       sent_at = now;
       holder = id;
       fence++;
       lease_end = now + TTL;
       if
       :: /* The reply is lost: nobody uses the lease, and it expires. */
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
       /* Renews the lease. */
       holder == id && own_fence[id] == fence && steps < 4 ->
       steps++;
       lease_end = now + TTL;
       valid_until[id] = now + TTL - MARGIN
     }
  :: /* Decides to send an order; the entry may be paused afterwards. */
     atomic {
       own_fence[id] != 0 && now >= acts_from[id] && now < valid_until[id] + DRIFT &&
       !is_travelling[id]
     };
#ifdef NO_CHECK
     /* Time may pass here while the entry is paused. */
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
