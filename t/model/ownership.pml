/* Model of the ownership protocol in docs/design/ownership.md: a shard of three
 * workers, one task bound to it, an owner A that may be paused, disconnected or
 * slow at any time, and a successor B.  Messages are delayed, reordered or
 * lost.  Time is discrete and all clocks run at the same rate, because the code
 * shortens a holder's authority by the bound on clock-rate differences.
 *
 * Checked: the task never runs on two workers at once.  Each guard can be
 * disabled with a -D flag; spin must then find a run that violates the check.
 *
 * Workers 0 and 1 are the majority that changes its owner: A no longer reaches
 * them, and B acquires and renews both without delay.  A still reaches worker 2
 * and starts the task there; B may or may not reach it.
 */
#define TTL 2      /* duration of a worker lease */
#define TASK_TTL 3 /* duration of the lease of a running attempt */
#define END_TIME 9
#define IN_FLIGHT_MAX 4 /* maximum of undelivered renewals of A */

byte now;

/* Leases of worker 2, of the attempt on it and of the attempt that B starts on
 * worker 0.  */
bool held_by_b;
byte worker_until = TTL;
byte running_until;
byte b_running_until;

/* A: its authority over worker 2 counts from the time a request is sent. */
byte a_until = TTL;
bool a_knows_serial = true; /* A knows the serial of the last renewal */
byte a_in_flight;           /* undelivered renewals */
byte a_sent;                /* when the newest of them was sent */
bool a_start_in_flight;     /* a start request is undelivered */
bool a_started;

/* B: its authority over workers 0 and 1, and over worker 2. */
byte b_majority_until;
byte b_majority_since; /* now + 1 when the majority was reached */
byte b_until;
byte b_replied_at;     /* when worker 2 last replied */
bool b_saw_no_attempt; /* the table read under B's lease has no attempt */
byte b_in_flight;
byte b_sent;
bool b_knows_serial;
bool b_started;

#define ATTEMPT_RUNS (running_until > now)

/* A's authority over workers 0 and 1 ends at TTL. */
#define A_MAJORITY (now < TTL)
#define B_MAJORITY (b_majority_until > now)

#ifdef RENEW_WITHOUT_MAJORITY
#define MAY_RENEW (a_until > now)
#else
#define MAY_RENEW (a_until > now && A_MAJORITY)
#endif

#ifdef SHORT_WAIT
#define WAIT TASK_TTL
#else
#define WAIT (TTL + TASK_TTL)
#endif

/* A renewal carries the serial of the last one, which the worker compares: once
 * one is accepted, all others in flight are void.  */
#ifdef NO_SERIAL
#define SERIAL_FITS(serial) (true)
#define VOID_OTHERS(n) skip
#else
#define SERIAL_FITS(serial) (serial)
#define VOID_OTHERS(n) n = 0
#endif

/* Counts from reaching the majority, or from the worker's last reply if that is
 * later.  */
#ifdef WAIT_FROM_MAJORITY_ONLY
#define WAITED (now + 1 >= b_majority_since + WAIT)
#else
#define WAITED (now + 1 >= b_majority_since + WAIT \
                && now >= b_replied_at + WAIT)
#endif

/* B concludes that the attempt is not on worker 2. */
#ifdef TRUST_ANY_TABLE
#define ATTEMPT_GONE (!ATTEMPT_RUNS || WAITED)
#else
#define ATTEMPT_GONE ((b_until > now && b_saw_no_attempt) \
                      || (b_until <= now && WAITED))
#endif

inline extend ()
{
  if
  :: ATTEMPT_RUNS -> running_until = now + TASK_TTL
  :: else
  fi
}

inline check ()
{
  assert (!(ATTEMPT_RUNS && b_running_until > now))
}

init
{
  do
  :: (now == END_TIME) -> break

  :: atomic { (now < END_TIME) ->
       now++;
       check ();
       if
       :: !B_MAJORITY -> b_majority_since = 0
       :: else
       fi }

  /* A renews worker 2. */
  :: atomic { (MAY_RENEW && a_in_flight < IN_FLIGHT_MAX) ->
       a_in_flight++; a_sent = now }

  /* A renewal of A is delivered or lost; its reply may be lost as well. */
  :: atomic { (a_in_flight > 0) ->
       a_in_flight--;
       if
       :: (!held_by_b && worker_until > now && SERIAL_FITS (a_knows_serial)) ->
          worker_until = now + TTL;
          extend ();
          VOID_OTHERS (a_in_flight);
          if
          :: a_until = a_sent + TTL; a_knows_serial = true
          :: a_knows_serial = false
          fi
       :: true
       fi }

  /* A checks its authority and sends a start request, which may be delivered at
     any later time.  */
  :: atomic { (!a_started && A_MAJORITY && a_until > now) ->
       a_started = true; a_start_in_flight = true }
  :: atomic { a_start_in_flight ->
       a_start_in_flight = false;
       if
       :: (!held_by_b && worker_until > now) -> running_until = now + TASK_TTL
       :: else
       fi;
       check () }

  /* B acquires and renews workers 0 and 1. */
  :: atomic { (now >= TTL && b_majority_until < now + TTL) ->
       b_majority_until = now + TTL;
       if
       :: (b_majority_since == 0) -> b_majority_since = now + 1
       :: else
       fi }

  /* B acquires worker 2.  This extends no attempt, because B has not read the
     table yet.  */
  :: atomic { (!held_by_b && worker_until <= now && now >= TTL) ->
       held_by_b = true;
       worker_until = now + TTL;
#ifdef ACQUIRE_EXTENDS
       extend ();
#endif
       if
       :: b_until = now + TTL; b_replied_at = now;
          b_saw_no_attempt = !ATTEMPT_RUNS; b_knows_serial = true
       :: true
       fi }

  /* B renews worker 2, with the same delays as A. */
  :: atomic { (b_until > now && B_MAJORITY && b_in_flight < 2) ->
       b_in_flight++; b_sent = now }
  :: atomic { (b_in_flight > 0) ->
       b_in_flight--;
       if
       :: (held_by_b && worker_until > now && SERIAL_FITS (b_knows_serial)) ->
          worker_until = now + TTL;
          extend ();
          VOID_OTHERS (b_in_flight);
          if
          :: b_until = b_sent + TTL; b_replied_at = now;
             b_saw_no_attempt = !ATTEMPT_RUNS; b_knows_serial = true
          :: b_knows_serial = false
          fi
       :: true
       fi }

  /* B starts the task on worker 0. */
  :: atomic { (!b_started && b_majority_since != 0 && B_MAJORITY
               && ATTEMPT_GONE) ->
       b_started = true;
       b_running_until = now + TASK_TTL;
       check () }
  od
}
