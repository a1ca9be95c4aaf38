/* Evidence that workers were lost together (kq_evidence_*).
 *
 * Each service, zone and rack keeps its last losses.  It is in an outage at a
 * time if the losses within the window around that time are at least a third
 * of its workers, and at least two.  Losses that a task may have caused itself
 * do not speak for it, and losses with one other possible cause count once.
 * Each question is answered from the losses, so that a loss that came first in
 * an outage is explained as soon as the others are known.
 */
#include "sched/evidence.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "sched/types.h"

/* Number of last losses that a domain keeps. */
#define MAX_LOSSES_KEPT 64

/* A domain is in an outage from this share of its workers, but from two losses
   at least, since one crash beside a task's own proves nothing, and from 16 in
   any case. */
#define OUTAGE_DIVISOR 3
#define MIN_OUTAGE_LOSSES 2
#define MAX_OUTAGE_LOSSES 16

/* Time after which sizes are counted again. */
#define COUNT_INTERVAL_US KQ_USEC_PER_SEC

/* Time after which an outage that goes on is reported as spreading again. */
#define SPREAD_INTERVAL_US (500 * KQ_USEC_PER_MSEC)

/* More domains than a deployment has; further ones are not told apart. */
#define MAX_DOMAINS 4096

struct domain_key
{
  int scope;
  int service;
  char name[KQ_SCHED_NAME_SIZE];
};

struct entry
{
  kq_usec at;
  uint64_t number;
  const void *cause;
  const void *worker;
};

struct domain
{
  struct domain_key key;
  int size; /* number of workers */
  struct entry losses[MAX_LOSSES_KEPT];
  unsigned next;     /* number of losses so far; the next one's place */
  kq_usec outage_at; /* last loss that was part of an outage; 0: none */
  kq_usec spread_at; /* last time that this was reported */
  UT_hash_handle hh;
};

struct kq_evidence
{
  struct domain *domains;
  uint64_t last_number;
  kq_usec counted_at; /* 0: not yet */
};

struct kq_evidence *
kq_evidence_create (void)
{
  return calloc (1, sizeof (struct kq_evidence));
}

void
kq_evidence_destroy (struct kq_evidence *evidence)
{
  struct domain *domain;
  struct domain *next;

  if (evidence == NULL)
    return;
  domain = evidence->domains;
  HASH_CLEAR (hh, evidence->domains);
  for (; domain != NULL; domain = next)
    {
      next = domain->hh.next;
      free (domain);
    }
  free (evidence);
}

/* Fills KEY for SCOPE at PLACE; returns false if PLACE does not name it. */
static bool
fill_key (struct domain_key *key, enum kq_evidence_scope scope,
          const struct kq_evidence_place *place)
{
  const char *name = scope == KQ_EVIDENCE_RACK   ? place->rack
                     : scope == KQ_EVIDENCE_ZONE ? place->zone
                                                 : "";

  if (name == NULL || (scope != KQ_EVIDENCE_SERVICE && name[0] == '\0'))
    return false;
  memset (key, 0, sizeof *key);
  key->scope = (int)scope;
  key->service = place->service;
  snprintf (key->name, sizeof key->name, "%s", name);
  return true;
}

static struct domain *
find_domain (const struct kq_evidence *evidence, enum kq_evidence_scope scope,
             const struct kq_evidence_place *place)
{
  struct domain_key key;
  struct domain *domain = NULL;

  if (fill_key (&key, scope, place))
    HASH_FIND (hh, evidence->domains, &key, sizeof key, domain);
  return domain;
}

static struct domain *
find_or_add_domain (struct kq_evidence *evidence, enum kq_evidence_scope scope,
                    const struct kq_evidence_place *place)
{
  struct domain *domain = find_domain (evidence, scope, place);
  struct domain_key key;

  if (domain != NULL || !fill_key (&key, scope, place)
      || HASH_COUNT (evidence->domains) >= MAX_DOMAINS)
    return domain;
  domain = calloc (1, sizeof *domain);
  if (domain == NULL)
    return NULL;
  domain->key = key;
  HASH_ADD (hh, evidence->domains, key, sizeof domain->key, domain);
  return domain;
}

bool
kq_evidence_begin_count (struct kq_evidence *evidence, kq_usec now)
{
  struct domain *domain;

  if (evidence->counted_at != 0
      && now - evidence->counted_at < COUNT_INTERVAL_US)
    return false;
  evidence->counted_at = now;
  for (domain = evidence->domains; domain != NULL; domain = domain->hh.next)
    domain->size = 0;
  return true;
}

void
kq_evidence_count_worker (struct kq_evidence *evidence,
                          const struct kq_evidence_place *place)
{
  for (int scope = KQ_EVIDENCE_RACK; scope <= KQ_EVIDENCE_SERVICE; scope++)
    {
      struct domain *domain = find_or_add_domain (
          evidence, (enum kq_evidence_scope)scope, place);

      if (domain != NULL)
        domain->size++;
    }
}

static unsigned
kept_count (const struct domain *domain)
{
  return domain->next < MAX_LOSSES_KEPT ? domain->next : MAX_LOSSES_KEPT;
}

static bool
is_in_window (kq_usec one, kq_usec other)
{
  return one - other <= KQ_EVIDENCE_WINDOW_US
         && other - one <= KQ_EVIDENCE_WINDOW_US;
}

/* Returns the loss of WORKER in the window before AT, or NULL. */
static const struct entry *
find_loss (const struct domain *domain, const void *worker, kq_usec at)
{
  for (unsigned i = 0; i < kept_count (domain); i++)
    if (domain->losses[i].worker == worker
        && is_in_window (domain->losses[i].at, at))
      return &domain->losses[i];
  return NULL;
}

static bool
is_own (const struct kq_evidence_query *query, uint64_t number)
{
  for (int i = 0; i < query->own_count; i++)
    if (query->own[i] == number)
      return true;
  return false;
}

/* Whether an earlier loss in the window around AT has the cause of the loss
   at INDEX: a task that crashes one worker after the other is one cause. */
static bool
is_repeated (const struct domain *domain, unsigned index, kq_usec at)
{
  const struct entry *entry = &domain->losses[index];

  for (unsigned i = 0; entry->cause != NULL && i < index; i++)
    if (domain->losses[i].cause == entry->cause
        && is_in_window (domain->losses[i].at, at))
      return true;
  return false;
}

/* Returns how many losses speak for the task of QUERY, at most LIMIT. */
static int
count_others (const struct domain *domain,
              const struct kq_evidence_query *query, int limit)
{
  int count = 0;

  for (unsigned i = 0; count < limit && i < kept_count (domain); i++)
    {
      const struct entry *entry = &domain->losses[i];

      count += is_in_window (entry->at, query->at)
               && (entry->cause == NULL || entry->cause != query->cause)
               && !is_own (query, entry->number)
               && !is_repeated (domain, i, query->at);
    }
  return count;
}

/* Returns the number of losses that are a large share of DOMAIN. */
static int
outage_share (const struct domain *domain)
{
  int losses = domain->size / OUTAGE_DIVISOR;

  return losses < MIN_OUTAGE_LOSSES ? MIN_OUTAGE_LOSSES : losses;
}

static int
outage_threshold (const struct domain *domain)
{
  int losses = outage_share (domain);

  return losses < MAX_OUTAGE_LOSSES ? losses : MAX_OUTAGE_LOSSES;
}

/* Whether COUNT losses or more speak for the task of QUERY. */
static bool
has_others (const struct domain *domain, const struct kq_evidence_query *query,
            int count)
{
  return domain != NULL && count_others (domain, query, count) == count;
}

enum kq_evidence_scope
kq_evidence_explain (const struct kq_evidence *evidence,
                     const struct kq_evidence_query *query)
{
  for (int scope = KQ_EVIDENCE_SERVICE; scope > KQ_EVIDENCE_NONE; scope--)
    {
      const struct domain *domain = find_domain (
          evidence, (enum kq_evidence_scope)scope, &query->place);

      if (domain != NULL
          && has_others (domain, query, outage_threshold (domain)))
        return (enum kq_evidence_scope)scope;
    }
  return KQ_EVIDENCE_NONE;
}

bool
kq_evidence_is_doubtful (const struct kq_evidence *evidence,
                         const struct kq_evidence_query *query)
{
  const struct domain *domain
      = find_domain (evidence, KQ_EVIDENCE_SERVICE, &query->place);

  return has_others (domain, query, 1);
}

kq_usec
kq_evidence_last_loss (const struct kq_evidence *evidence, int service)
{
  const struct kq_evidence_place place = { .service = service };
  const struct domain *domain
      = find_domain (evidence, KQ_EVIDENCE_SERVICE, &place);

  if (domain == NULL || domain->next == 0)
    return 0;
  return domain->losses[(domain->next - 1) % MAX_LOSSES_KEPT].at;
}

/* Notes that an outage of a large share of DOMAIN goes on. In a large service
   16 losses explain each other, but say nothing about its other workers. */
static void
note_spread (struct domain *domain, kq_usec now,
             struct kq_evidence_finding *finding)
{
  if (domain->spread_at != 0 && now - domain->spread_at < SPREAD_INTERVAL_US)
    return;
  domain->spread_at = now;
  finding->spreads = true;
  finding->spread_scope = (enum kq_evidence_scope)domain->key.scope;
}

/* Sets what a loss at NOW shows of the outage of DOMAIN. */
static void
note_outage (struct domain *domain, kq_usec now,
             struct kq_evidence_finding *finding)
{
  if (domain->outage_at == 0
      || now - domain->outage_at > KQ_EVIDENCE_WINDOW_US)
    {
      finding->begins = true;
      domain->spread_at = 0;
    }
  domain->outage_at = now;
}

struct kq_evidence_finding
kq_evidence_note_loss (struct kq_evidence *evidence,
                       const struct kq_evidence_loss *loss)
{
  struct kq_evidence_finding finding = { .scope = KQ_EVIDENCE_NONE };
  const struct kq_evidence_query all
      = { .place = loss->place, .at = loss->at };
  struct domain *domain
      = find_or_add_domain (evidence, KQ_EVIDENCE_SERVICE, &loss->place);
  const struct entry *known
      = domain != NULL ? find_loss (domain, loss->worker, loss->at) : NULL;

  if (known != NULL)
    {
      finding.number = known->number;
      return finding;
    }
  finding.number = ++evidence->last_number;
  for (int scope = KQ_EVIDENCE_RACK; scope <= KQ_EVIDENCE_SERVICE; scope++)
    {
      domain = find_or_add_domain (evidence, (enum kq_evidence_scope)scope,
                                   &loss->place);
      if (domain == NULL)
        continue;
      domain->losses[domain->next++ % MAX_LOSSES_KEPT]
          = (struct entry){ loss->at, finding.number, loss->cause,
                            loss->worker };
      /* One loss is the one that the others would explain. */
      if (!has_others (domain, &all, outage_threshold (domain) + 1))
        continue;
      finding.scope = (enum kq_evidence_scope)scope;
      note_outage (domain, loss->at, &finding);
      if (has_others (domain, &all, outage_share (domain)))
        note_spread (domain, loss->at, &finding);
    }
  return finding;
}

const char *
kq_evidence_scope_name (enum kq_evidence_scope scope)
{
  switch (scope)
    {
    case KQ_EVIDENCE_RACK:
      return "rack";
    case KQ_EVIDENCE_ZONE:
      return "zone";
    case KQ_EVIDENCE_SERVICE:
      return "service";
    case KQ_EVIDENCE_NONE:
      break;
    }
  return "none";
}
