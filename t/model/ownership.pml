/* The ownership protocol of docs/design/ownership.md: one shard of three
 * workers, one task bound to it, an owner A that may be paused, cut off or
 * slow at any moment, and a successor B.  Messages arrive late, in any order
 * or never.  Time is discrete; both sides' clocks run alike, because the code
 * shortens a holder's authority by the clock-rate bound.
 *
 * Checked: the task never runs on two workers at once.  Each guard can be
 * left out with a -D flag; spin must then find a run that breaks the check.
 *
 * To keep the search small, A reaches worker 2 alone once its first leases
 * run, and starts there; B starts on worker 0.  The protocol treats all
 * workers alike.
 */
#define WORKERS 3
#define MAJORITY 2
#define TTL 2
#define TASK_TTL 1
#define END 7
#define A 0
#define B 1
#define FLIGHT 4 /* renewals that may be under way to one worker */

byte now;

/* Workers: what each one's table says. */
bool held_by_b[WORKERS];
byte until[WORKERS];         /* the lease lapses then */
byte running_until[WORKERS]; /* the attempt here lives until then */

/* A's own picture: its authority, counted from when it sent. */
byte a_until[WORKERS];
bool a_serial[WORKERS];      /* A knows the serial of the last renewal */
byte flight[WORKERS];        /* renewals under way */
byte sent[WORKERS];          /* when the newest of them was sent */
bool a_start;                /* a start is under way to worker 2 */
bool a_started;

/* B's picture. */
byte b_until[WORKERS];
bool b_read[WORKERS];        /* table read under B's lease: no attempt there */
byte b_heard[WORKERS];       /* when W last answered */
byte b_flight;               /* renewals of worker 2 under way */
byte b_sent;
bool b_serial;
byte b_majority_at;          /* now + 1 when the majority was reached */
bool b_start;
bool b_started;

#define RUNS(w) (running_until[w] > now)
#define COUNT(x) ((x[0] > now) + (x[1] > now) + (x[2] > now))

#ifdef RENEW_WITHOUT_MAJORITY
#define MAY_RENEW(w) (a_until[w] > now)
#else
#define MAY_RENEW(w) (a_until[w] > now && COUNT (a_until) >= MAJORITY)
#endif

#ifdef SHORT_WAIT
#define WAIT TTL
#else
#define WAIT (TTL + TASK_TTL)
#endif

#ifdef NO_SERIAL
#define SERIAL_FITS(serial) (true)
#else
#define SERIAL_FITS(serial) (serial)
#endif

/* Counted from the majority, or from W's last answer if that is later. */
#define WAITED(w) (now + 1 >= b_majority_at + WAIT && now >= b_heard[w] + WAIT)

/* B takes it that the attempt is not on worker W. */
#ifdef TRUST_ANY_TABLE
#define CLEAR(w) (!RUNS (w) || WAITED (w))
#else
#define CLEAR(w) ((b_until[w] > now && b_read[w]) \
                  || (b_until[w] <= now && WAITED (w)))
#endif

inline check ()
{
  assert (COUNT (running_until) <= 1)
}

inline renew (w, most)
{
  atomic {
    (MAY_RENEW (w) && flight[w] < most) ->
    flight[w]++;
    sent[w] = now
  }
}

/* A renewal arrives, or is lost; its answer may be lost as well. */
inline renewal_ends (w)
{
  atomic {
    (flight[w] > 0) ->
    flight[w]--;
    if
    :: (!held_by_b[w] && until[w] > now && SERIAL_FITS (a_serial[w])) ->
       until[w] = now + TTL;
       if
       :: RUNS (w) -> running_until[w] = now + TASK_TTL
       :: else
       fi;
       if
       :: a_until[w] = sent[w] + TTL; a_serial[w] = true
       :: a_serial[w] = false
       fi
    :: true
    fi
  }
}

/* An acquire of B arrives at once, since a late answer only shortens
 * authority.  It extends no attempt: the holder has not read the table yet.
 */
inline acquire (w)
{
  atomic {
    (held_by_b[w] == false && until[w] <= now) ->
    held_by_b[w] = true;
    until[w] = now + TTL;
#ifdef ACQUIRE_EXTENDS
    if
    :: RUNS (w) -> running_until[w] = now + TASK_TTL
    :: else
    fi;
#endif
    if
    :: b_until[w] = now + TTL;
       b_heard[w] = now;
       b_read[w] = !RUNS (w);
       b_serial = (w == 2 -> true : b_serial)
    :: true
    fi
  }
}

/* B renews workers 0 and 1, where the attempt is not, without delay. */
inline b_renews (w)
{
  atomic {
    (held_by_b[w] && until[w] > now && b_until[w] > now
     && b_until[w] < now + TTL && COUNT (b_until) >= MAJORITY) ->
    until[w] = now + TTL;
    b_until[w] = now + TTL
  }
}

inline b_renews_slowly ()
{
  atomic {
    (b_until[2] > now && COUNT (b_until) >= MAJORITY && b_flight < 2) ->
    b_flight++;
    b_sent = now
  }
}

inline b_renewal_ends ()
{
  atomic {
    (b_flight > 0) ->
    b_flight--;
    if
    :: (held_by_b[2] && until[2] > now && SERIAL_FITS (b_serial)) ->
       until[2] = now + TTL;
       if
       :: RUNS (2) -> running_until[2] = now + TASK_TTL
       :: else
       fi;
       if
       :: b_until[2] = b_sent + TTL;
          b_heard[2] = now;
          b_read[2] = !RUNS (2);
          b_serial = true
       :: b_serial = false
       fi
    :: true
    fi
  }
}

inline pass_time ()
{
  atomic {
    (now < END) ->
    now++;
    check ();
    if
    :: (COUNT (b_until) < MAJORITY) -> b_majority_at = 0
    :: else
    fi
  }
}

inline note_majority ()
{
  atomic {
    (b_majority_at == 0 && COUNT (b_until) >= MAJORITY) ->
    b_majority_at = now + 1
  }
}

init
{
  atomic {
    until[0] = TTL; until[1] = TTL; until[2] = TTL;
    a_until[0] = TTL; a_until[1] = TTL; a_until[2] = TTL;
    a_serial[2] = true
  };
  do
  :: (now == END) -> break
  :: pass_time ()
  :: renew (2, FLIGHT)
  :: renewal_ends (2)
  :: acquire (0)
  :: acquire (1)
  :: acquire (2)
  :: b_renews (0)
  :: b_renews (1)
  :: b_renews_slowly ()
  :: b_renewal_ends ()
  :: note_majority ()
  :: atomic {
       (!a_started && COUNT (a_until) >= MAJORITY && a_until[2] > now) ->
       a_started = true;
       a_start = true }
  :: atomic {
       a_start ->
       a_start = false;
       if
       :: (!held_by_b[2] && until[2] > now) ->
          running_until[2] = now + TASK_TTL
       :: else
       fi;
       check () }
  :: atomic {
       (!b_started && b_majority_at != 0 && COUNT (b_until) >= MAJORITY
        && b_until[0] > now && CLEAR (0) && CLEAR (1) && CLEAR (2)) ->
       b_started = true;
       b_start = true }
  :: atomic {
       b_start ->
       b_start = false;
       if
       :: (held_by_b[0] && until[0] > now) ->
          running_until[0] = now + TASK_TTL
       :: else
       fi;
       check () }
  od
}
