/* The ownership protocol of docs/design/ownership.md: one shard of three
 * workers, one task bound to it, an owner A that may be paused, cut off or
 * slow at any moment, and a successor B.  Messages arrive late, in any order
 * or never.  Time is discrete; both sides' clocks run alike, because the code
 * shortens a holder's authority by the clock-rate bound.
 *
 * Checked: the task never runs on two workers at once.  Each guard can be
 * left out with a -D flag; spin must then find a run that breaks the check.
 *
 * Workers 0 and 1 are the majority that changes hands: A no longer reaches
 * them, and B leases and renews both without delay.  Worker 2 is the one that
 * A still reaches, that B may or may not reach, and where A starts the task.
 */
#define TTL 2      /* of a worker lease */
#define TASK_TTL 3 /* of a running attempt */
#define END 9
#define FLIGHT 4 /* renewals of A that may be under way */

byte now;

/* Worker 2, and the attempt that B starts on worker 0. */
bool held_by_b;
byte until = TTL;
byte running_until;
byte b_running_until;

/* A: its authority, counted from when it sent. */
byte a_until = TTL;
bool a_serial = true; /* A knows the serial of the last renewal */
byte flight;          /* renewals under way */
byte sent;            /* when the newest of them was sent */
bool a_start;         /* a start is under way */
bool a_started;

/* B: its authority over workers 0 and 1, and over worker 2. */
byte b_majority_until;
byte b_majority_at; /* now + 1 when the majority was reached */
byte b_until;
byte b_heard;       /* when worker 2 last answered */
bool b_read;        /* table read under B's lease: no attempt there */
byte b_flight;
byte b_sent;
bool b_serial;
bool b_started;

#define RUNS (running_until > now)

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

/* A renewal quotes the serial of the last one, which the worker compares: once
 * one is accepted, all others under way are void.  */
#ifdef NO_SERIAL
#define SERIAL_FITS(serial) (true)
#define VOID_OTHERS(n) skip
#else
#define SERIAL_FITS(serial) (serial)
#define VOID_OTHERS(n) n = 0
#endif

/* Counted from the majority, or from the worker's last answer if later. */
#ifdef WAIT_FROM_MAJORITY_ONLY
#define WAITED (now + 1 >= b_majority_at + WAIT)
#else
#define WAITED (now + 1 >= b_majority_at + WAIT && now >= b_heard + WAIT)
#endif

/* B takes it that the attempt is not on worker 2. */
#ifdef TRUST_ANY_TABLE
#define CLEAR (!RUNS || WAITED)
#else
#define CLEAR ((b_until > now && b_read) || (b_until <= now && WAITED))
#endif

inline extend ()
{
  if
  :: RUNS -> running_until = now + TASK_TTL
  :: else
  fi
}

inline check ()
{
  assert (!(RUNS && b_running_until > now))
}

init
{
  do
  :: (now == END) -> break

  :: atomic { (now < END) ->
       now++;
       check ();
       if
       :: !B_MAJORITY -> b_majority_at = 0
       :: else
       fi }

  /* A renews worker 2. */
  :: atomic { (MAY_RENEW && flight < FLIGHT) -> flight++; sent = now }

  /* A renewal of A arrives or is lost; its answer may be lost as well. */
  :: atomic { (flight > 0) ->
       flight--;
       if
       :: (!held_by_b && until > now && SERIAL_FITS (a_serial)) ->
          until = now + TTL;
          extend ();
          VOID_OTHERS (flight);
          if
          :: a_until = sent + TTL; a_serial = true
          :: a_serial = false
          fi
       :: true
       fi }

  /* A checks its authority and sends a start; it arrives when it likes. */
  :: atomic { (!a_started && A_MAJORITY && a_until > now) ->
       a_started = true; a_start = true }
  :: atomic { a_start ->
       a_start = false;
       if
       :: (!held_by_b && until > now) -> running_until = now + TASK_TTL
       :: else
       fi;
       check () }

  /* B leases and renews workers 0 and 1. */
  :: atomic { (now >= TTL && b_majority_until < now + TTL) ->
       b_majority_until = now + TTL;
       if
       :: (b_majority_at == 0) -> b_majority_at = now + 1
       :: else
       fi }

  /* B acquires worker 2: this extends no attempt, for B has not read the
     table yet. */
  :: atomic { (!held_by_b && until <= now && now >= TTL) ->
       held_by_b = true;
       until = now + TTL;
#ifdef ACQUIRE_EXTENDS
       extend ();
#endif
       if
       :: b_until = now + TTL; b_heard = now; b_read = !RUNS;
          b_serial = true
       :: true
       fi }

  /* B renews worker 2, with the same delays as A. */
  :: atomic { (b_until > now && B_MAJORITY && b_flight < 2) ->
       b_flight++; b_sent = now }
  :: atomic { (b_flight > 0) ->
       b_flight--;
       if
       :: (held_by_b && until > now && SERIAL_FITS (b_serial)) ->
          until = now + TTL;
          extend ();
          VOID_OTHERS (b_flight);
          if
          :: b_until = b_sent + TTL; b_heard = now; b_read = !RUNS;
             b_serial = true
          :: b_serial = false
          fi
       :: true
       fi }

  /* B starts the task on worker 0. */
  :: atomic { (!b_started && b_majority_at != 0 && B_MAJORITY && CLEAR) ->
       b_started = true;
       b_running_until = now + TASK_TTL;
       check () }
  od
}
