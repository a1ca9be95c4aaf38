#include "t/standin/si-unasked.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "t/standin/si-store.h"

/* Setting bounds.cancel_ms of the deployments. */
#define CANCEL_SEC 3.0

/* A run reaches a new checkpoint so often. */
#define CHECKPOINT_SEC 1.0

#define ID_CHARS 16

int si_checkpoint_bytes;
int64_t si_unasked_count;
char si_unasked[256];

struct cancelled_job
{
  char id[ID_CHARS + 1];
  double at;
  UT_hash_handle hh;
};

/* A checkpoint of a task, by the hash of both. */
struct returned
{
  uint64_t hash;
  UT_hash_handle hh;
};

static struct cancelled_job *cancelled;
static struct returned *returned;

void
si_note_acknowledged_cancel (const char *id)
{
  struct cancelled_job *job;

  HASH_FIND_STR (cancelled, id, job);
  if (job != NULL)
    return;
  job = calloc (1, sizeof *job);
  snprintf (job->id, sizeof job->id, "%s", id);
  job->at = si_now ();
  HASH_ADD_STR (cancelled, id, job);
}

static uint64_t
hash_of (const char *task, const char *checkpoint)
{
  return XXH64 (checkpoint, strlen (checkpoint),
                XXH64 (task, strlen (task), 0));
}

static struct returned *
find_returned (uint64_t hash)
{
  struct returned *found;

  HASH_FIND (hh, returned, &hash, sizeof hash, found);
  return found;
}

json_t *
si_return_checkpoint (const struct run *run)
{
  int number = (int)((si_now () - run->started_at) / CHECKPOINT_SEC);
  char *text;
  uint64_t draw;
  int length;
  json_t *value;

  if (si_checkpoint_bytes == 0 || number == 0)
    return json_string ("");
  text = calloc (1, (size_t)si_checkpoint_bytes + 128);
  length
      = snprintf (text, 128, "%s/%d/%d/", run->task, (int)run->number, number);
  draw = XXH64 (text, (size_t)length, 1);
  /* Half of them are no longer than names. */
  memset (text + length, 'a' + (int)(draw % 26),
          draw >> 8 & 1 ? (draw >> 16) % (unsigned)si_checkpoint_bytes
                        : (draw >> 16) % 32);
  draw = hash_of (run->task, text);
  if (find_returned (draw) == NULL)
    {
      struct returned *added = calloc (1, sizeof *added);

      added->hash = draw;
      HASH_ADD (hh, returned, hash, sizeof added->hash, added);
    }
  value = json_string (text);
  free (text);
  return value;
}

static void
note (const char *task, const char *why, size_t figure)
{
  if (si_unasked_count++ == 0)
    snprintf (si_unasked, sizeof si_unasked, "start of %s %s (%zu)", task, why,
              figure);
}

void
si_check_asked (const char *task, const char *checkpoint)
{
  struct cancelled_job *job;

  HASH_FIND (hh, cancelled, task, ID_CHARS, job);
  if (job != NULL && si_now () > job->at + CANCEL_SEC)
    note (task, "after its cancellation was acknowledged, ms",
          (size_t)((si_now () - job->at) * 1000));
  if (checkpoint[0] != '\0'
      && find_returned (hash_of (task, checkpoint)) == NULL)
    note (task, "with a checkpoint that is not its own, bytes",
          strlen (checkpoint));
}
