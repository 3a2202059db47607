/*
 * Order of the tokens of one answer over several attempts; see "Each layer
 * once per token" in docs/design.md.
 *
 * Each attempt's engines sample LENGTH tokens (bits) after the tokens that
 * they were given. A record carries the tokens on which it was computed. It
 * may be duplicated, lost, produced by only some layers, or belong to another
 * request. A replaced attempt may go on and its records arrive late, mixed
 * with those of the current one. An attempt dies by taking no further step.
 *
 * Checked: each token delivered was computed, by all layers, on exactly the
 * tokens delivered before it; a complete answer has all LENGTH tokens.
 *
 * Broken variants: NO_REQUEST_CHECK, NO_ATTEMPT_CHECK, NO_POSITION_CHECK,
 * NO_LAYER_CHECK, NO_LENGTH_CHECK.
 */
#define LENGTH 3
#define ATTEMPTS 2

mtype = { token, finish };

/* Records: kind, own request, attempt, position, tokens before, token, whole. */
chan records = [2] of { mtype, bool, byte, byte, byte, bit, bool };

byte current = 0;
byte used = 0;         /* Tokens delivered. */
byte used_tokens = 0;  /* Their bits, the first one highest. */
bool ended = false;

proctype Engines(byte attempt; byte position; byte before) {
  bit sampled;
  byte faults = 0;
  do
  :: position < LENGTH && !ended ->
     if
     :: sampled = 0
     :: sampled = 1
     fi;
     if
     :: records!token, true, attempt, position, before, sampled, true
     :: faults < 1 -> faults++;  /* Twice. */
        records!token, true, attempt, position, before, sampled, true;
        records!token, true, attempt, position, before, sampled, true
     :: faults < 1 -> faults++   /* Lost. */
     :: faults < 1 -> faults++;  /* Some layers only. */
        records!token, true, attempt, position, before, sampled, false
     :: faults < 1 -> faults++;  /* Another request's record, then its own. */
        records!token, false, attempt, position, 7, sampled, true;
        records!token, true, attempt, position, before, sampled, true
     fi;
     before = before * 2 + sampled;
     sampled = 0;
     position++
  :: position == LENGTH && !ended ->
     records!finish, true, attempt, position, before, 0, true;
     break
  :: ended -> break
  od
}

inline Resume() {
  if
  :: current < ATTEMPTS -> current++; run Engines(current, used, used_tokens)
  :: else -> ended = true
  fi
}

active proctype Daemon() {
  mtype kind;
  bool own;
  byte attempt;
  byte position;
  byte before;
  bit value;
  bool whole;
  atomic { current = 1; run Engines(1, 0, 0) };
  do
  :: atomic {
       records?kind, own, attempt, position, before, value, whole ->
       if
       :: ended -> goto next
       :: else
       fi;
#ifndef NO_REQUEST_CHECK
       if
       :: !own -> goto next
       :: else
       fi;
#endif
#ifndef NO_ATTEMPT_CHECK
       if
       :: attempt != current -> goto next
       :: else
       fi;
#endif
       if
       :: kind == finish ->
#ifndef NO_LENGTH_CHECK
          if
          :: used < LENGTH -> Resume(); goto next
          :: else
          fi;
#endif
          assert(used == LENGTH);
          ended = true;
          goto next
       :: else
       fi;
#ifndef NO_POSITION_CHECK
       if
       :: position < used -> goto next
       :: position > used -> Resume(); goto next
       :: else
       fi;
#endif
#ifndef NO_LAYER_CHECK
       if
       :: !whole -> Resume(); goto next
       :: else
       fi;
#endif
       assert(own && whole && before == used_tokens && position == used);
       used_tokens = used_tokens * 2 + value;
       used++;
next:  kind = 0; own = 0; attempt = 0; position = 0; before = 0; value = 0;
       whole = 0
     }
  :: atomic { !ended -> Resume() }  /* Silence or a cut connection. */
  :: ended -> break
  od;
  /* Nothing is delivered any more; the channel is drained. */
end:
  do
  :: records?_, _, _, _, _, _, _
  od
}
