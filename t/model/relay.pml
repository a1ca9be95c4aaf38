/* Model of orders that wait in relays (docs/design/scale.md): an owner A whose
 * term was last confirmed at time 0, its successor B, a worker W that either
 * may or may not reach, and a worker V that B and A reach at once.  Orders of A
 * to W go through relays that keep each for any time, deliver it or lose it.
 * Time is discrete and all clocks run at the same rate, because the code
 * lengthens a wait by the bound on clock-rate differences.
 *
 * Checked: the one task never runs on W and V at once.  Each guard can be
 * disabled with a -D flag; spin must then find a run that violates the check.
 */
#define LEASE 3       /* length of a lease that a renewal or a start grants */
#define UNCONFIRMED 2 /* A acts for this long after its last confirmation */
#define END_TIME 10

#ifdef SHORT_WAIT
#define WAIT LEASE
#else
#define WAIT (UNCONFIRMED + LEASE)
#endif

#ifdef ACT_UNCONFIRMED
#define A_MAY_ACT (now < END_TIME)
#else
#define A_MAY_ACT (now <= UNCONFIRMED)
#endif

byte now;

/* W: the fence that it has heard, the end of its lease, run 1 of the task. */
byte fence = 1;
byte lease_until;
bool running; /* run 1, as long as its lease lasts */
bool run_ended; /* run 1 has ended or was stopped: it is refused from then on */

/* The task on V. */
bool runs_on_v;

/* Orders of A on their way: at most one of each kind at a time. */
bool start_in_relay;
byte start_until;
bool renewal_in_relay;
byte renewal_until;
bool stop_in_relay;

/* A */
bool a_started;      /* it has sent the start of run 1 */
bool a_gave_up;      /* it had no reply to the start, and sent a stop */
bool a_stop_replied; /* W has taken the stop */

/* B: it begins at any time after the owner's timeout, which is 1. */
bool b_active;
bool b_asked_w;  /* W has heard B and answered */
bool b_saw_none; /* that answer lists no run */

#define RUNS_ON_W (running && lease_until > now)

inline check ()
{
  assert (!(RUNS_ON_W && runs_on_v))
}

active proctype clock ()
{
  do
  :: now < END_TIME ->
     atomic
     {
       now++;
       if
       :: running && lease_until <= now -> running = false; run_ended = true
       :: else
       fi
     }
  :: now == END_TIME -> break
  od
}

active proctype owner_a ()
{
  do
  :: atomic { !a_started && A_MAY_ACT ->
       a_started = true; start_in_relay = true; start_until = now + LEASE }
  :: atomic { a_started && !a_gave_up && !renewal_in_relay && A_MAY_ACT ->
       renewal_in_relay = true; renewal_until = now + LEASE }
  :: atomic { a_started && !a_gave_up && A_MAY_ACT ->
       a_gave_up = true; stop_in_relay = true }
  /* Run 2 starts on V once W has taken the stop of run 1. */
  :: atomic { a_stop_replied && A_MAY_ACT && !runs_on_v && !b_active ->
       runs_on_v = true; check () }
  :: now == END_TIME -> break
  od
}

/* The relays: whatever waits is delivered or lost at any time. */
active proctype relays ()
{
  do
  :: atomic { start_in_relay ->
       start_in_relay = false;
       if
       :: skip /* lost */
       :: true ->
          if
#ifndef NO_FENCE
          :: fence > 1 -> skip
#endif
#ifndef NO_LEASE_END
          :: start_until <= now -> skip
#endif
#ifndef NO_RUN_NUMBER
          :: run_ended -> skip
#endif
          :: else ->
             running = true; run_ended = false;
             if
             :: start_until > lease_until -> lease_until = start_until
             :: else
             fi;
#ifdef NO_LEASE_END
             if
             :: lease_until <= now -> lease_until = now + LEASE
             :: else
             fi;
#endif
             check ()
          fi
       fi }
  :: atomic { renewal_in_relay ->
       renewal_in_relay = false;
       if
       :: skip /* lost */
       :: fence == 1 ->
#ifdef RELATIVE_LEASE
          lease_until = now + LEASE
#else
          if
          :: renewal_until > lease_until -> lease_until = renewal_until
          :: else
          fi
#endif
       fi }
  :: atomic { stop_in_relay ->
       stop_in_relay = false;
       if
       :: skip /* lost */
       :: fence == 1 -> running = false; run_ended = true; a_stop_replied = true
       fi }
  :: now == END_TIME -> break
  od
}

active proctype owner_b ()
{
  do
  :: atomic { !b_active && now >= 1 && !runs_on_v -> b_active = true }
  :: atomic { b_active && !b_asked_w ->
       b_asked_w = true; fence = 2;
       b_saw_none = !RUNS_ON_W }
  :: atomic { b_active && b_asked_w && b_saw_none && !runs_on_v ->
       runs_on_v = true; check () }
  /* W does not answer. */
  :: atomic { b_active && !b_asked_w && now > WAIT && !runs_on_v ->
       runs_on_v = true; check () }
  :: now == END_TIME -> break
  od
}

/* The invariant also holds while nothing is sent. */
active proctype monitor ()
{
  do
  :: atomic { RUNS_ON_W && runs_on_v -> assert (false) }
  :: now == END_TIME -> break
  od
}
