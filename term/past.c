/* Earlier owners: see term/past.h. */
#include "term/past.h"

#include <stdio.h>
#include <string.h>

/* The slowest clock of a host, in percent of the true rate. */
#define SLOWEST_CLOCK_PERCENT 98

/* Longer times since a term are written and read as this one. */
#define MAX_AGO_MS (INT64_C (3600) * 1000)

static struct kq_past_owner *
find (struct kq_past_owners *past, int64_t term)
{
  for (int i = 0; i < past->count; i++)
    if (past->owners[i].term == term)
      return &past->owners[i];
  return NULL;
}

static struct kq_past_owner *
find_or_add (struct kq_past_owners *past, int64_t term)
{
  struct kq_past_owner *owner = find (past, term);
  int i = 0;

  if (owner != NULL)
    return owner;
  while (i < past->count && past->owners[i].term > term)
    i++;
  if (i == KQ_TERM_MAX_PAST)
    return NULL;
  if (past->count < KQ_TERM_MAX_PAST)
    past->count++;
  owner = &past->owners[i];
  memmove (owner + 1, owner, (size_t)(past->count - 1 - i) * sizeof *owner);
  memset (owner, 0, sizeof *owner);
  owner->term = term;
  return owner;
}

void
kq_past_note_heard (struct kq_past_owners *past, kq_usec now, int64_t term,
                    const char *host, const char *incarnation, kq_usec age)
{
  struct kq_past_owner *owner = find_or_add (past, term);

  if (owner == NULL)
    return;
  snprintf (owner->host, sizeof owner->host, "%s", host);
  snprintf (owner->incarnation, sizeof owner->incarnation, "%s", incarnation);
  owner->heard_at = now;
  if (age > 0)
    owner->age = age;
}

void
kq_past_note_end (struct kq_past_owners *past, kq_usec now, int64_t term)
{
  struct kq_past_owner *owner = find (past, term);

  if (owner != NULL && owner->ended_at == 0)
    owner->ended_at = now;
}

void
kq_past_note_gap (struct kq_past_owners *past, kq_usec now)
{
  for (int i = 0; i < past->count; i++)
    {
      past->owners[i].heard_at = now;
      past->owners[i].age = 0;
      past->owners[i].confirmed_until = 0;
    }
}

int
kq_past_list (const struct kq_past_owners *past, int64_t own_term,
              const char *host, const char *incarnation, kq_usec started_at,
              struct kq_term_past list[KQ_TERM_MAX_PAST])
{
  kq_usec latest = 0; /* bound from the claims of later terms; 0: none */
  int count = 0;

  for (int i = 0; i < past->count; i++)
    {
      const struct kq_past_owner *owner = &past->owners[i];
      kq_usec claimed_by
          = owner->heard_at - owner->age * SLOWEST_CLOCK_PERCENT / 100;
      struct kq_term_past *entry = &list[count];

      if (own_term == 0 || owner->term < own_term)
        {
          entry->term = owner->term;
          entry->confirmed_until = owner->heard_at;
          if (latest != 0 && latest < entry->confirmed_until)
            entry->confirmed_until = latest;
          if (owner->confirmed_until != 0
              && owner->confirmed_until < entry->confirmed_until)
            entry->confirmed_until = owner->confirmed_until;
          entry->ended_at = owner->ended_at;
          entry->heard_at = owner->heard_at;
          entry->age = owner->age;
          /* An earlier process on this host has ended. */
          if (entry->ended_at == 0 && strcmp (owner->host, host) == 0
              && strcmp (owner->incarnation, incarnation) != 0)
            entry->ended_at = started_at;
          count++;
        }
      if (latest == 0 || claimed_by < latest)
        latest = claimed_by;
    }
  return count;
}

static int64_t
ago_ms (kq_usec now, kq_usec at)
{
  int64_t ms = (now - at) / KQ_USEC_PER_MSEC;

  if (at == 0 || ms < 0)
    return 0;
  return ms < MAX_AGO_MS ? ms : MAX_AGO_MS;
}

void
kq_past_write (const struct kq_term_past list[KQ_TERM_MAX_PAST], int count,
               kq_usec now, struct kq_past_message *message,
               KqTerm__TermRecord *record)
{
  for (int i = 0; i < count; i++)
    {
      KqTerm__PastTerm *term = &message->terms[i];

      kq_term__past_term__init (term);
      term->term = list[i].term;
      term->unconfirmed_ms = ago_ms (now, list[i].confirmed_until);
      term->ended_ms = ago_ms (now, list[i].ended_at);
      message->pointers[i] = term;
    }
  record->past = message->pointers;
  record->n_past = (size_t)count;
}

/* Lowers AT, if it is not 0, to the time that is MS before NOW on the clock of
   another host. */
static void
lower (kq_usec *at, kq_usec now, int64_t ms)
{
  kq_usec by;

  if (ms <= 0)
    return;
  if (ms > MAX_AGO_MS)
    ms = MAX_AGO_MS;
  by = now - ms * KQ_USEC_PER_MSEC * SLOWEST_CLOCK_PERCENT / 100;
  if (*at == 0 || by < *at)
    *at = by;
}

void
kq_past_read (struct kq_past_owners *past, kq_usec now, int64_t number,
              const KqTerm__TermRecord *record)
{
  for (size_t i = 0; i < record->n_past; i++)
    {
      const KqTerm__PastTerm *term = record->past[i];
      struct kq_past_owner *owner;

      if (term->term <= 0 || term->term >= number)
        continue;
      /* The records of that term may be deleted. */
      owner = find_or_add (past, term->term);
      if (owner == NULL)
        continue;
      if (owner->heard_at == 0)
        owner->heard_at = now;
      lower (&owner->confirmed_until, now, term->unconfirmed_ms);
      lower (&owner->ended_at, now, term->ended_ms);
    }
}
