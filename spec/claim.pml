/*
 * Claims of non-idempotent calls; see "Non-idempotent calls" in
 * docs/design.md. REQUESTS requests with one idempotency key run through as
 * many daemons. A request's nonce is its number.
 *
 * A daemon that dies or pauses is a process that takes no further step, which
 * every interleaving contains; a daemon that resumes takes its next step late.
 * Claim writes may take effect at once, late or never, with or without an
 * answer.
 *
 * Checked: the call runs at most once; a request that was called not run never
 * runs; a key whose only claims were abandoned is free at the end.
 *
 * Broken variants: UNCONDITIONAL_CLAIM, ANY_NONCE_IS_OWN, SEND_WITHOUT_CHECK,
 * RELEASE_AFTER_SEND, NO_RELEASE, NO_TOMBSTONE.
 */
#ifndef REQUESTS
#define REQUESTS 2
#endif
#define WRITES 2

mtype = { absent, started, done, released };
mtype = { pending, held, sent, abandoned };
mtype = { none, complete, not_run, unknown };
mtype = { if_absent, if_version };

mtype item = absent;
byte item_nonce = 0;
byte item_version = 0;

mtype phase[REQUESTS + 1] = pending;
mtype outcome[REQUESTS + 1] = none;
bool other_seen[REQUESTS + 1];
bool settled[REQUESTS + 1];
byte runs = 0;

/* Claim writes on their way: condition and expected version. */
chan network[REQUESTS + 1] = [WRITES] of { mtype, byte };

inline ApplyClaim(me, condition, version, applied) {
  if
  :: (condition == if_absent && item == absent) ||
     (condition == if_version && item == released && item_version == version)
     -> applied = true
  :: else ->
#ifdef UNCONDITIONAL_CLAIM
     applied = true
#else
     applied = false
#endif
  fi;
  if
  :: applied -> item = started; item_nonce = me; item_version++
  :: else
  fi
}

/* Delivers late writes, or loses them. */
proctype Network(byte me) {
  mtype condition;
  byte version;
  bool applied;
end:
  do
  :: atomic {
       network[me]?condition, version;
       if
       :: true -> ApplyClaim(me, condition, version, applied)
       :: true
       fi;
       applied = false; condition = 0; version = 0
     }
  od
}

inline Report(me, result) {
  assert(outcome[me] == none);
  outcome[me] = result
}

/* The caller's deadline: abandons unless the call was sent, in one step. */
proctype Deadline(byte me) {
  atomic {
    if
    :: phase[me] == pending || phase[me] == held ->
       phase[me] = abandoned;
       if
       :: outcome[me] == none && other_seen[me] -> Report(me, unknown)
       :: outcome[me] == none && !other_seen[me] -> Report(me, not_run)
       :: else
       fi
    :: else
    fi
  }
  /* Release in the background, after any delay. */
  if
  :: phase[me] == abandoned ->
#ifndef NO_RELEASE
     atomic {
       if
#ifndef NO_TOMBSTONE
       :: item == absent || item == released ->
          item = released; item_nonce = me; item_version++
#endif
       :: item != absent && item_nonce == me && item != released ->
          item = released; item_version++
       :: else
       fi
     }
#endif
     skip
  :: else
  fi;
  settled[me] = true
}

inline RunCall(me) {
  assert(outcome[me] != not_run);
  runs++;
  assert(runs <= 1)
}

proctype Request(byte me) {
  mtype condition = if_absent;
  byte version = 0;
  byte tries = 0;
  byte refusals = 0;
  bool applied = false;
  bool maybe_written = false;

  do
  :: phase[me] == pending && tries < WRITES ->
     tries++;
     if
     :: /* The table answers. */
        atomic {
          true; ApplyClaim(me, condition, version, applied);
          if
          :: applied && phase[me] == pending -> phase[me] = held
          :: !applied -> other_seen[me] = true
          :: else
          fi;
          applied = false
        }
     :: /* Takes effect, but the answer is lost. */
        atomic {
          true; ApplyClaim(me, condition, version, applied);
          applied = false; maybe_written = true
        }
     :: /* Takes effect late or never. */
        atomic { network[me]!condition, version; maybe_written = true }
     :: /* Nothing was written. */
        atomic {
          true;
          if
          :: !maybe_written && phase[me] == pending && outcome[me] == none ->
             phase[me] = abandoned;
             if
             :: other_seen[me] -> Report(me, unknown)
             :: else -> Report(me, not_run)
             fi
          :: else
          fi
        }
     fi;
     /* Reading back, which may fail. */
     if
     :: atomic {
          phase[me] == pending ->
          if
#ifdef ANY_NONCE_IS_OWN
          :: item == started ->
#else
          :: item == started && item_nonce == me ->
#endif
             phase[me] = held
          :: item == absent -> condition = if_absent; other_seen[me] = false
          :: item == released && item_nonce != me ->
             condition = if_version; version = item_version;
             other_seen[me] = false
          :: item == done ->
             phase[me] = abandoned; Report(me, complete)
#ifndef ANY_NONCE_IS_OWN
          :: item == started && item_nonce != me -> other_seen[me] = true
#endif
          fi
        }
     :: skip
     fi
  :: phase[me] == pending && tries == WRITES ->
     phase[me] != pending
  :: phase[me] != pending -> break
  od;

  do
  :: atomic {
#ifdef SEND_WITHOUT_CHECK
       (phase[me] == held || (phase[me] == abandoned && item_nonce == me))
#else
       phase[me] == held
#endif
       -> phase[me] = sent
     };
     if
     :: /* Answered. */
        atomic { RunCall(me) };
        atomic {
          if
          :: item != absent && item_nonce == me -> item = done; item_version++
          :: else
          fi;
          Report(me, complete)
        };
        break
     :: /* Runs, perhaps late; the answer is lost. */
        Report(me, unknown);
#ifdef RELEASE_AFTER_SEND
        atomic { item = released; item_version++ };
#endif
        if
        :: atomic { RunCall(me) }
        :: skip
        fi;
        break
     :: /* Refused before its start. */
        refusals < 1 -> atomic { refusals++; phase[me] = held }
     fi
  :: phase[me] == abandoned -> break
  od
}

/* Once all claims are settled and nothing is underway, a claim that is still
 * started belongs to a call that may have run. */
proctype Auditor() {
  atomic {
    (
      settled[1] && settled[2] && empty(network[1]) && empty(network[2])
#if REQUESTS > 2
      && settled[3] && empty(network[3])
#endif
    ) ->
    assert(!(item == started && phase[item_nonce] == abandoned))
  }
}

init {
  byte i;
  atomic {
    for (i : 1 .. REQUESTS) {
      run Network(i);
      run Request(i);
      run Deadline(i)
    }
    run Auditor()
  }
}
