/*
 * Configuration versions; see "Configuration" in docs/design.md. Two operators
 * change the configuration through different daemons; DAEMONS daemons spread
 * it by reading the table and by pushes that may be lost, late or out of order.
 * The answer to a write may be lost and is then read back by the change id.
 * Time is in units of a third of the confirmation bound of 9 s. One daemon may
 * be cut off from the table and from its peers.
 *
 * Checked: no daemon goes back to a lower version; each version is one change;
 * a change that was reported accepted is in the history; a daemon that has been
 * cut off for longer than the bound takes no new work.
 *
 * Broken variants: APPLY_ANY_VERSION, UNCONDITIONAL_WRITE,
 * LOST_MEANS_ACCEPTED, NO_CONFIRMATION.
 */
#define DAEMONS 3
#define CHANGES 2
#define BOUND 3
#define HORIZON 5
#define UNCUT 255

byte table_version = 0;
byte history[CHANGES + 2];  /* Change id of each version; 0 is none. */
byte local_version[DAEMONS];
byte local_change[DAEMONS];
byte confirmed_at[DAEMONS];
byte now = 0;
byte cut_at = UNCUT;  /* When daemon 0 was cut off. */

/* Pushes on their way to a daemon: version and change id. */
chan pushes[DAEMONS] = [1] of { byte, byte };

#define Connected(me) (me != 0 || cut_at == UNCUT)

inline Apply(me, version, change) {
  if
#ifdef APPLY_ANY_VERSION
  :: true ->
#else
  :: version > local_version[me] ->
#endif
     assert(version >= local_version[me]);
     local_version[me] = version;
     local_change[me] = change
#ifndef APPLY_ANY_VERSION
  :: else
#endif
  fi;
  /* One version is the same change everywhere. */
  assert(local_change[me] == history[local_version[me]])
}

inline Push(to, version, change) {
  if
  :: nfull(pushes[to]) -> pushes[to]!version, change
  :: true  /* Lost. */
  fi
}

/* One change, made through daemon `me` on the version that it knows. */
proctype Operator(byte me; byte change) {
  byte expected;
  byte version;
  bool effect;
  atomic { expected = local_version[me] };
end_cut_before_write:
  atomic {
    Connected(me) ->
    if
#ifdef UNCONDITIONAL_WRITE
    :: true -> version = expected + 1
#else
    :: table_version == expected -> version = expected + 1
#endif
    :: table_version != expected -> version = 0  /* A conflict. */
    :: true -> version = 0                       /* The write was lost. */
    fi;
    if
    :: version > 0 ->
       table_version = version; history[version] = change
    :: else
    fi
  };
  /* The answer may be lost; what counts is what the history says. */
end_cut_before_answer:
  atomic {
    Connected(me) ->
#ifdef LOST_MEANS_ACCEPTED
    effect = true; version = expected + 1;
#else
    effect = (version > 0 && history[version] == change);
#endif
    if
    :: effect ->
       assert(history[version] == change);
       Apply(me, version, change);
       Push((me + 1) % DAEMONS, version, change)
    :: else
    fi
  };
  atomic {
    if
    :: effect ->
       Push((me + 2) % DAEMONS, version, change);
       /* An accepted change is never replaced. */
       assert(history[version] == change)
    :: else
    fi
  }
}

proctype Daemon(byte me) {
  byte version;
  byte change;
end:
  do
  :: atomic {  /* The read confirms the daemon's version. */
       Connected(me) && now < HORIZON && (local_version[me] != table_version ||
                                          confirmed_at[me] != now) ->
       Apply(me, table_version, history[table_version]);
       confirmed_at[me] = now
     }
  :: atomic {  /* Heartbeats with a majority confirm it as well. */
       Connected(me) && now < HORIZON && confirmed_at[me] != now ->
       confirmed_at[me] = now
     }
  :: atomic {
       Connected(me) && nempty(pushes[me]) ->
       pushes[me]?version, change;
       Apply(me, version, change);
       version = 0; change = 0
     }
  :: atomic {  /* A request is taken. */
       now <= HORIZON &&
#ifndef NO_CONFIRMATION
       now - confirmed_at[me] <= BOUND &&
#endif
       true ->
       assert(Connected(me) || now - cut_at <= BOUND)
     }
  od
}

active proctype Partition() {
  if
  :: atomic { cut_at == UNCUT -> cut_at = now }
  :: true
  fi
}

active proctype Time() {
end:
  do
  :: now < HORIZON -> now++
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. DAEMONS - 1) {
      run Daemon(i)
    }
    run Operator(0, 1);
    run Operator(1, 2)
  }
}
