/*
 * The placement lease; see "Orders to engines" in docs/design.md. Times are in
 * units of the margin. HOLDERS daemons take the lease in turn and may be
 * paused at any time; one engine checks the fencing number, another ignores it.
 * An order to the ignoring engine arrives within twice the margin; the page
 * names an order delayed beyond that as the remaining risk. Orders to the
 * checking engine may be sent and arrive at any time.
 *
 * Checked: no engine takes an order of an earlier holder after one of a later
 * holder.
 *
 * Broken variants: NO_WAIT, NO_SEND_CHECK, NO_FENCE_CHECK, FENCE_REUSED.
 */
#define HOLDERS 2
#define LEASE 3
#define MARGIN 1
#define HORIZON 10

byte now = 0;
byte lease_holder = 0;
byte lease_expiry = 0;
byte lease_fence = 0;

/* Orders on their way from each holder to an engine: term, fencing number or
 * latest arrival. */
chan checking[HOLDERS + 1] = [1] of { byte, byte };
chan ignoring[HOLDERS + 1] = [1] of { byte, byte };

byte term = 0;  /* Counts changes of holder; only the assertions read it. */
byte checked_fence = 0;
byte checked_term = 0;
byte ignored_term = 0;

proctype Holder(byte me) {
  byte my_expiry;
  byte my_fence;
  byte my_term;
end:
  do
  :: atomic {
       (lease_holder == 0 && my_term == 0) || (lease_holder != me &&
#ifdef NO_WAIT
       now > lease_expiry
#else
       now > lease_expiry + MARGIN
#endif
       ) && now + LEASE < HORIZON ->
       lease_holder = me;
       lease_expiry = now + LEASE;
#ifndef FENCE_REUSED
       lease_fence++;
#endif
       term++;
       my_expiry = lease_expiry; my_fence = lease_fence; my_term = term
     }
  :: atomic {
       my_term > 0 && nfull(checking[me]) -> checking[me]!my_term, my_fence
     }
  :: atomic {
       my_term > 0 &&
#ifndef NO_SEND_CHECK
       now + MARGIN <= my_expiry &&
#endif
       nfull(ignoring[me]) -> ignoring[me]!my_term, now + 2 * MARGIN
     }
  od
}

inline TakeChecked(holder) {
  checking[holder]?from, fence;
  if
#ifdef NO_FENCE_CHECK
  :: true ->
#else
  :: fence >= checked_fence ->
#endif
     assert(from >= checked_term);
     checked_term = from; checked_fence = fence
#ifndef NO_FENCE_CHECK
  :: else
#endif
  fi;
  from = 0; fence = 0
}

active proctype CheckingEngine() {
  byte from;
  byte fence;
end:
  do
  :: atomic { nempty(checking[1]) -> TakeChecked(1) }
  :: atomic { nempty(checking[2]) -> TakeChecked(2) }
  od
}

inline TakeIgnored(holder) {
  ignoring[holder]?from, latest;
  if
  :: latest >= now -> assert(from >= ignored_term); ignored_term = from
  :: else
  fi;
  from = 0; latest = 0
}

active proctype IgnoringEngine() {
  byte from;
  byte latest;
end:
  do
  :: atomic { nempty(ignoring[1]) -> TakeIgnored(1) }
  :: atomic { nempty(ignoring[2]) -> TakeIgnored(2) }
  od
}

active proctype Time() {
end:
  do
  :: now < HORIZON -> now++
  od
}

init {
  atomic { run Holder(1); run Holder(2) }
}
