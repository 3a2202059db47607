/*
 * Conserved class budgets; see "Class budgets across daemons" in
 * docs/design.md. The target is TARGET units. Three daemons hold shares; a
 * grant is sent until it is acknowledged, so it may arrive twice or late. A
 * new generation replaces the old one after daemon 2 is cut off for good and
 * lists daemons 0 and 1. Time is in units of 1 s for a margin of 1 and a
 * confirmation bound of BOUND; the page's values are 9 s and 1 s.
 *
 * Rules: a daemon admits only while it is confirmed. A generation is written
 * once its author counts the excluded members as gone and hears more than half
 * of the former members. The shares of a former generation are used for BOUND
 * after the next one was written, new shares after BOUND + 1.
 *
 * Checked: the shares in use never add up to more than the target.
 *
 * Broken variants: GIVE_BEFORE_SUBTRACTING, GRANT_ADDED_TWICE, GRANT_OUTLIVES,
 * USE_AT_ONCE, OLD_UNTIL_SWITCH, NO_CONFIRMATION, MINORITY_AUTHOR.
 */
#define TARGET 6
#define GRANT 2
#define DAEMONS 3
#define BOUND 2
#define HORIZON 8
#define UNWRITTEN 255

byte now = 0;
byte share[DAEMONS];       /* Of the generation in use. */
byte generation[DAEMONS];  /* In use: 1 or 2. */
byte confirmed_at[DAEMONS];
bool cut = false;          /* Daemon 2 reaches no one. */
byte written_at = UNWRITTEN;
bool learned[DAEMONS];     /* Knows of the new generation. */
byte in_use = 0;           /* Sum of the shares in use. */

/* One numbered grant from daemon 0 to daemon 1. */
bool granted = false;
bool added = false;
byte grant_generation = 0;
byte deliveries = 0;

#define Confirmed(i) (now - confirmed_at[i] <= BOUND)
#ifdef OLD_UNTIL_SWITCH
#define OldInTime(i) true
#else
#define OldInTime(i) \
  (generation[i] == 2 || written_at == UNWRITTEN || now <= written_at + BOUND)
#endif

#ifdef NO_CONFIRMATION
#define Uses(i) (Learned(i) -> OldInTime(i) : true)
#else
#define Uses(i) (Confirmed(i) && (Learned(i) -> OldInTime(i) : true))
#endif

#define Learned(i) learned[i]

inline CheckSum() {
  in_use = (Uses(0) -> share[0] : 0) + (Uses(1) -> share[1] : 0) +
           (Uses(2) -> share[2] : 0);
  assert(in_use <= TARGET);
  in_use = 0
}

/* Reading the table, or heartbeats with a majority, confirms a daemon. Either
 * one tells it of a generation that a majority knows. */
proctype Daemon(byte me) {
end:
  do
  :: atomic {
       now < HORIZON &&
       (confirmed_at[me] != now || (written_at != UNWRITTEN && !learned[me])) &&
#ifdef MINORITY_AUTHOR
       /* Daemon 2 reads the table; 0 and 1 confirm each other. */
       true ->
       learned[me] = (written_at != UNWRITTEN && me == 2);
#else
       (me != 2 || !cut) ->
       learned[me] = (written_at != UNWRITTEN);
#endif
       confirmed_at[me] = now;
       CheckSum()
     }
  :: atomic {  /* Takes the new generation into use. */
       generation[me] == 1 && written_at != UNWRITTEN && Learned(me) &&
#ifndef USE_AT_ONCE
       now >= written_at + BOUND + 1 &&
#endif
       Confirmed(me) ->
       generation[me] = 2;
#ifdef MINORITY_AUTHOR
       share[me] = TARGET;
#else
       share[me] = TARGET / 2;
#endif
       CheckSum()
     }
  od
}

active proctype Giver() {
  atomic {
    if
    :: generation[0] == 1 ->
       grant_generation = 1;
#ifndef GIVE_BEFORE_SUBTRACTING
       share[0] = share[0] - GRANT;
#endif
       granted = true
    :: true
    fi
  }
}

active proctype Receiver() {
end:
  do
  :: atomic {
       granted && deliveries < 2 ->
       deliveries++;
       if
#ifdef GRANT_ADDED_TWICE
       :: grant_generation == generation[1] ->
#elif defined(GRANT_OUTLIVES)
       :: !added ->
#else
       :: !added && grant_generation == generation[1] ->
#endif
          added = true;
          share[1] = share[1] + GRANT
       :: else
       fi;
       CheckSum()
     }
  od
}

active proctype Author() {
  atomic { cut = true };
end_too_late:
  atomic {
    written_at == UNWRITTEN && now + BOUND + 2 <= HORIZON ->
    written_at = now
  }
}

active proctype Time() {
end:
  do
  :: atomic { now < HORIZON -> now++; CheckSum() }
  od
}

init {
  atomic {
    share[0] = TARGET / 3; share[1] = TARGET / 3; share[2] = TARGET / 3;
    generation[0] = 1; generation[1] = 1; generation[2] = 1;
    run Daemon(0); run Daemon(1); run Daemon(2)
  }
}
