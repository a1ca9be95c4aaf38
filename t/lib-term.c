#include "t/lib-term.h"

#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"

void
start_host (struct sim *sim, int i)
{
  char host[16];
  char address[32];
  char incarnation[16];

  snprintf (host, sizeof host, "h%d", i);
  snprintf (address, sizeof address, "10.0.0.%d:7720", i + 1);
  snprintf (incarnation, sizeof incarnation, "life-%d", sim->starts++);
  sim->hosts[i] = kq_term_create (host, address, incarnation, 1.0, sim->now);
  sim->stopped[i] = false;
}

void
stop_host (struct sim *sim, int i)
{
  kq_term_destroy (sim->hosts[i]);
  sim->hosts[i] = NULL;
  sim->stopped[i] = true;
}

struct sim *
create_sim (void)
{
  static struct sim sim;

  memset (&sim, 0, sizeof sim);
  sim.epoch = -1;
  sim.now = 100 * KQ_USEC_PER_SEC;
  for (int i = 0; i < HOSTS; i++)
    start_host (&sim, i);
  return &sim;
}

void
destroy_sim (struct sim *sim)
{
  for (int i = 0; i < HOSTS; i++)
    kq_term_destroy (sim->hosts[i]);
}

struct kq_term_append_result
append_record (struct sim *sim, const struct kq_term_append *append)
{
  if (append->at >= 0 && append->at != sim->end)
    return (struct kq_term_append_result){ .outcome = KQ_TERM_FAILED };
  if (append->epoch >= 0 && append->epoch < sim->epoch)
    return (struct kq_term_append_result){ .outcome = KQ_TERM_FENCED };
  if (append->epoch == sim->epoch && append->sequence == sim->sequence - 1)
    return (struct kq_term_append_result){ .outcome = KQ_TERM_STORED };
  if (append->epoch == sim->epoch && append->sequence != sim->sequence)
    return (struct kq_term_append_result){ .outcome = KQ_TERM_SEQUENCE,
                                           .expected_sequence
                                           = sim->sequence };
  if (append->epoch >= 0)
    {
      sim->epoch = append->epoch;
      sim->sequence = append->sequence + 1;
    }
  CU_ASSERT_FATAL (sim->end < MAX_RECORDS);
  memcpy (sim->records[sim->end].bytes, append->bytes, append->size);
  sim->records[sim->end].size = append->size;
  sim->end++;
  return (struct kq_term_append_result){ .outcome = KQ_TERM_STORED };
}

void
append_next (struct sim *sim, int i)
{
  struct kq_term_append_result result = { .outcome = KQ_TERM_FAILED };
  struct kq_term_append append;
  bool due = kq_term_next (sim->hosts[i], sim->now, &append);

  /* A host stops acting as the owner as soon as its term says so. */
  if (kq_term_own_term (sim->hosts[i]) == 0)
    kq_term_note_idle (sim->hosts[i], sim->now);
  if (!due && !kq_term_next (sim->hosts[i], sim->now, &append))
    return;
  if (!sim->store_unreachable[i])
    result = append_record (sim, &append);
  if (sim->replies_lost)
    result.outcome = KQ_TERM_FAILED;
  kq_term_append_done (sim->hosts[i], sim->now, &result);
}

void
read_all (struct sim *sim, int i)
{
  struct kq_term *term = sim->hosts[i];

  if (sim->store_unreachable[i])
    return;
  while (kq_term_offset (term) < sim->end)
    {
      const struct record *record = &sim->records[kq_term_offset (term)];

      kq_term_apply (term, sim->now, kq_term_offset (term), record->bytes,
                     record->size);
    }
  kq_term_note_read (term, sim->now, sim->now - KQ_USEC_PER_MSEC, sim->end);
}

int
count_owners (const struct sim *sim, int *last_owner)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    if (!sim->stopped[i] && kq_term_own_term (sim->hosts[i]) != 0)
      {
        count++;
        *last_owner = i;
      }
  return count;
}

void
run_for (struct sim *sim, kq_usec duration)
{
  for (kq_usec end = sim->now + duration; sim->now < end; sim->now += STEP_US)
    for (int i = 0; i < HOSTS; i++)
      if (!sim->stopped[i])
        {
          read_all (sim, i);
          append_next (sim, i);
        }
}
