/*
 * Journal of requests that run at most once: one key, one shard value in a
 * store with compare-and-swap, two entries. Replies are lost, entries crash
 * or give up, and a write may take effect after its writer stopped waiting.
 *
 * Each define removes one guard:
 *   NO_INTENT_FIRST   an entry dispatches before its intent is durable
 *   TAKE_OVER         an entry runs the intent of another attempt
 *   NO_FENCE          a write with an unknown result is resolved by reading
 *                     alone, without moving the version
 *   FALSE_NOT_RUN     an entry answers not_run for the intent of another
 *                     attempt
 *   NO_TOMBSTONE      an entry answers not_run and frees the key without
 *                     writing a tombstone
 */
#define ENTRIES 2
#define NONE 255

/* State of the key in the shard. */
mtype = { absent, intent, tombstone, completed };

mtype key_state = absent;
byte key_attempt = NONE;
byte version = 0;

/* Writes that may still take effect although the writer no longer waits. */
bool late_pending[ENTRIES];
mtype late_state[ENTRIES];
byte late_attempt[ENTRIES];
byte late_expected[ENTRIES];

byte runs = 0;
bool attempt_ran[ENTRIES];
bool said_not_run[ENTRIES];
/* The attempt has ended: it will neither run nor write a tombstone. */
bool is_done[ENTRIES];
bool has_crashed[ENTRIES];
byte late_writes = 0;

#define MAX_LATE 2

/* Result of a write: it took effect, it conflicted, or this is unknown. */
mtype = { written, conflict, doubtful };

inline apply(wanted, attempt, expected, result) {
  if
  :: version == expected ->
     key_state = wanted;
     key_attempt = attempt;
     version++;
     result = written
  :: else -> result = conflict
  fi
}

/* Compare-and-swap with every fault that the store can have. */
inline write(writer, wanted, attempt, expected, result) {
  atomic {
    if
    :: true -> apply(wanted, attempt, expected, result)
    :: true -> /* The write takes effect, but the reply is lost. */
       apply(wanted, attempt, expected, result);
       result = doubtful
    :: true -> /* The request is lost. */
       result = doubtful
    :: /* The request is delayed: it takes effect later, or conflicts then. */
       late_writes < MAX_LATE && !late_pending[writer] ->
       late_writes++;
       late_pending[writer] = true;
       late_state[writer] = wanted;
       late_attempt[writer] = attempt;
       late_expected[writer] = expected;
       result = doubtful
    fi
  }
}

/* The network between entries and store: applies delayed writes. */
active proctype Network() {
  byte n;
end:
  do
  :: atomic {
       late_pending[0] ->
       late_pending[0] = false;
       if
       :: version == late_expected[0] ->
          key_state = late_state[0];
          key_attempt = late_attempt[0];
          version++
       :: else -> skip
       fi
     }
  :: atomic {
       late_pending[1] ->
       late_pending[1] = false;
       if
       :: version == late_expected[1] ->
          key_state = late_state[1];
          key_attempt = late_attempt[1];
          version++
       :: else -> skip
       fi
     }
  od
}

inline run_request() {
  atomic {
    runs++;
    attempt_ran[id] = true;
    assert(runs <= 1)
  }
}

inline read_shard() {
  atomic {
    seen_state = key_state;
    seen_attempt = key_attempt;
    seen_version = version
  }
}

proctype Entry(byte id) {
  mtype seen_state;
  byte seen_attempt;
  byte seen_version;
  mtype result;
  byte doubt_version;
  bool has_doubt = false;
  bool gives_up = false;

#ifdef NO_INTENT_FIRST
  run_request();
#endif

begin:
  read_shard();
  /* A delayed write can no longer apply once the version has moved. */
  if
  :: has_doubt && seen_version != doubt_version -> has_doubt = false
  :: else -> skip
  fi;
  if
  :: seen_state == intent && seen_attempt == id -> goto started
  :: seen_state == intent && seen_attempt != id ->
#ifdef TAKE_OVER
     goto started
#endif
#ifdef FALSE_NOT_RUN
     said_not_run[seen_attempt] = true;
#endif
     goto leave
  :: seen_state == completed -> goto leave
  :: else -> skip /* The key is absent or has a tombstone: it is free. */
  fi;
  if
  :: gives_up = true; goto withdraw
  :: skip
  fi;
  write(id, intent, id, seen_version, result);
  if
  :: result == written -> goto started
  :: result == conflict -> goto begin
  :: result == doubtful ->
     has_doubt = true;
     doubt_version = seen_version;
     if
     :: goto begin
     :: gives_up = true; goto withdraw
     :: goto crash
     fi
  fi;

started:
  if
  :: goto dispatch
  :: goto abandon
  :: goto crash
  fi;

dispatch:
#ifndef NO_INTENT_FIRST
  run_request();
#endif
  if
  :: skip
  :: goto crash
  fi;
complete:
  read_shard();
  if
  :: seen_attempt == id && seen_state == intent ->
     write(id, completed, id, seen_version, result);
     if
     :: result == written -> goto leave
     :: else -> goto complete
     fi
  :: else -> goto leave
  fi;

abandon:
#ifdef NO_TOMBSTONE
  said_not_run[id] = true;
  atomic { key_state = absent; key_attempt = NONE; version++ };
  if
  :: goto dispatch
  :: goto leave
  fi;
#endif
  read_shard();
  if
  :: seen_attempt == id && seen_state == intent ->
     write(id, tombstone, id, seen_version, result);
     if
     :: result == written -> said_not_run[id] = true; goto leave
     :: else -> goto abandon
     fi
  :: seen_attempt == id && seen_state == tombstone ->
     said_not_run[id] = true;
     goto leave
  :: else -> goto leave
  fi;

/* The caller of Begin no longer waits: no intent of this attempt may stay. */
withdraw:
  read_shard();
  if
  :: has_doubt && seen_version != doubt_version -> has_doubt = false
  :: else -> skip
  fi;
  if
  :: seen_attempt == id && seen_state == intent -> goto abandon
  :: else -> skip
  fi;
#ifndef NO_FENCE
  if
  :: has_doubt ->
     /* Moves the version, so that the delayed write can no longer apply. */
     write(id, seen_state, seen_attempt, seen_version, result);
     if
     :: result == written -> has_doubt = false; goto leave
     :: else -> goto withdraw
     fi
  :: else -> skip
  fi;
#endif
  goto leave;

crash:
  has_crashed[id] = true;

leave:
  is_done[id] = true
}

init {
  byte n;
  atomic {
    run Entry(0);
    run Entry(1)
  }
  /* Waits until both entries and all delayed writes have ended. */
  (is_done[0] && is_done[1] && !late_pending[0] && !late_pending[1]);
  assert(runs <= 1);
  assert(!(said_not_run[0] && attempt_ran[0]));
  assert(!(said_not_run[1] && attempt_ran[1]));
  /* No orphan: a remaining intent belongs to an entry that crashed. */
  if
  :: key_state == intent -> assert(has_crashed[key_attempt])
  :: else -> skip
  fi
}
