/* The platform's store: see rv.c. */
#include "rv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_TOPICS 32
#define MAX_READ_BYTES ((size_t)1024 * 1024)

/* ---- the store ---- */

struct entry
{
  uint8_t *bytes; /* of a record: in keyed topics with the key before it */
  size_t size;
};

struct topic
{
  char name[64];
  bool keyed;
  struct entry *entries;
  int64_t end;
  int64_t allocated;
  int64_t epoch;
  int64_t next_seq;
  struct
  {
    int64_t seq, offset, end;
  } last[5];
};

static struct topic topics[MAX_TOPICS];
static int topic_count;

/* Last heartbeat of each worker's key. */
static struct
{
  char key[64];
  int64_t at;
  bool there;
} beats[256];
static int beat_count;

static struct topic *
find_topic (const char *name)
{
  for (int i = 0; i < topic_count; i++)
    if (strcmp (topics[i].name, name) == 0)
      return &topics[i];
  if (topic_count == MAX_TOPICS)
    abort ();
  snprintf (topics[topic_count].name, sizeof topics[0].name, "%s", name);
  topics[topic_count].keyed = strncmp (name, "keyed.", 6) == 0;
  topics[topic_count].epoch = -1;
  return &topics[topic_count++];
}

static void
add_entry (struct topic *topic, const void *bytes, size_t size)
{
  if (topic->end == topic->allocated)
    {
      topic->allocated = topic->allocated == 0 ? 256 : topic->allocated * 2;
      topic->entries = realloc (topic->entries, (size_t)topic->allocated
                                                    * sizeof *topic->entries);
    }
  topic->entries[topic->end].bytes = malloc (size + 1);
  memcpy (topic->entries[topic->end].bytes, bytes, size);
  topic->entries[topic->end++].size = size;
}

static void
put (const char *topic, const char *key, size_t key_size, const void *value,
     size_t size)
{
  uint8_t *bytes = malloc (1 + key_size + size + 1);

  bytes[0] = (uint8_t)key_size;
  memcpy (bytes + 1, key, key_size);
  memcpy (bytes + 1 + key_size, value, size);
  add_entry (find_topic (topic), bytes, 1 + key_size + size);
  free (bytes);
}

static void
store_tick (void)
{
  for (int i = 0; i < beat_count; i++)
    if (beats[i].there && now_ms () - beats[i].at > 3 * BEAT_MS)
      {
        put ("keyed.servers", beats[i].key, strlen (beats[i].key), "", 0);
        beats[i].there = false;
        note ("store entry of %s removed", beats[i].key);
      }
}

static void
note_beat (const char *key, bool there)
{
  int i = 0;

  while (i < beat_count && strcmp (beats[i].key, key) != 0)
    i++;
  if (i == 256)
    return;
  if (i == beat_count)
    snprintf (beats[beat_count++].key, sizeof beats[0].key, "%.63s", key);
  beats[i].at = now_ms ();
  beats[i].there = there;
}

/* Answers an append that changes nothing: its condition does not hold, or it
   repeats another.  Returns whether it did. */
static bool
answer_without_append (struct conn *conn, const struct topic *topic)
{
  int64_t at = query_number (conn, "at", -1);
  int64_t epoch = query_number (conn, "epoch", -1);
  int64_t seq = query_number (conn, "seq", -1);

  if (at >= 0 && at != topic->end)
    {
      respond_json (conn, 412,
                    json_pack ("{sI}", "end", (json_int_t)topic->end));
      return true;
    }
  if (epoch >= 0 && epoch < topic->epoch)
    {
      respond_json (conn, 409, json_pack ("{ss}", "reason", "fenced"));
      return true;
    }
  if (epoch >= 0 && epoch == topic->epoch)
    {
      for (int i = 0; i < 5; i++)
        if (topic->last[i].seq == seq)
          {
            respond_json (conn, 200,
                          json_pack ("{sI sI}", "offset",
                                     (json_int_t)topic->last[i].offset, "end",
                                     (json_int_t)topic->last[i].end));
            return true;
          }
      if (seq != topic->next_seq)
        {
          respond_json (conn, 409,
                        json_pack ("{ss sI}", "reason", "seq", "seq",
                                   (json_int_t)topic->next_seq));
          return true;
        }
    }
  return false;
}

static bool
handle_append (struct conn *conn, struct topic *topic)
{
  int64_t epoch = query_number (conn, "epoch", -1);
  int64_t seq = query_number (conn, "seq", -1);
  int64_t offset = topic->end;
  size_t left = conn->body_size;
  const uint8_t *bytes = (const uint8_t *)conn->body;

  if (answer_without_append (conn, topic))
    return true;
  while (left >= 4)
    {
      uint32_t length;

      memcpy (&length, bytes, 4);
      length = ntohl (length);
      if (length > left - 4)
        break;
      add_entry (topic, bytes + 4, length);
      bytes += 4 + length;
      left -= 4 + length;
    }
  if (epoch >= 0)
    {
      if (epoch > topic->epoch)
        for (int i = 0; i < 5; i++)
          topic->last[i].seq = -1;
      topic->epoch = epoch;
      topic->next_seq = seq + 1;
      memmove (&topic->last[1], &topic->last[0], 4 * sizeof topic->last[0]);
      topic->last[0].seq = seq;
      topic->last[0].offset = offset;
      topic->last[0].end = topic->end;
    }
  respond_json (conn, 200,
                json_pack ("{sI sI}", "offset", (json_int_t)offset, "end",
                           (json_int_t)topic->end));
  return true;
}

static bool
handle_read (struct conn *conn, const struct topic *topic)
{
  int64_t from = query_number (conn, "from", 0);
  int64_t end = from;
  size_t size = 16;
  uint8_t *body;
  uint8_t *at;

  if (!conn->seen)
    conn->deadline = now_ms () + query_number (conn, "wait_ms", 0);
  if (from >= topic->end && now_ms () < conn->deadline)
    return false;
  while (end < topic->end
         && (end == from || size + topic->entries[end].size < MAX_READ_BYTES))
    size += 4 + topic->entries[end++].size;
  body = calloc (1, size);
  for (int i = 0; i < 8; i++)
    body[i] = (uint8_t)((uint64_t)topic->end >> (56 - 8 * i));
  at = body + 16;
  for (int64_t i = from; i < end; i++)
    {
      uint32_t length = htonl ((uint32_t)topic->entries[i].size);

      memcpy (at, &length, 4);
      memcpy (at + 4, topic->entries[i].bytes, topic->entries[i].size);
      at += 4 + topic->entries[i].size;
    }
  respond (conn, 200, "application/octet-stream", body, size);
  free (body);
  return true;
}

static int
compare_keys (const struct entry *a, const uint8_t *key, size_t size)
{
  size_t common = a->bytes[0] < size ? a->bytes[0] : size;
  int order = memcmp (a->bytes + 1, key, common);

  return order != 0 ? order : (int)a->bytes[0] - (int)size;
}

static const struct topic *sorted_topic;

static int
compare_offsets (const void *a, const void *b)
{
  int64_t first = *(const int64_t *)a;
  int64_t second = *(const int64_t *)b;
  const struct entry *other = &sorted_topic->entries[second];
  int order = compare_keys (&sorted_topic->entries[first], other->bytes + 1,
                            other->bytes[0]);

  return order != 0 ? order : (first > second) - (first < second);
}

/* Responds with the newest record of each key, in the order of the keys. */
static bool
handle_newest (struct conn *conn, const struct topic *topic)
{
  int64_t *order = calloc ((size_t)topic->end + 1, sizeof *order);
  json_t *items = json_array ();
  char after[512];
  int after_size = query_text (conn, "after", after, sizeof after);
  size_t size = 0;
  bool more = false;

  for (int64_t i = 0; i < topic->end; i++)
    order[i] = i;
  sorted_topic = topic;
  qsort (order, (size_t)topic->end, sizeof *order, compare_offsets);
  for (int64_t i = 0; i < topic->end && !more; i++)
    {
      const struct entry *entry = &topic->entries[order[i]];
      size_t key_size = entry->bytes[0];
      size_t value_size = entry->size - 1 - key_size;
      char *text;

      if ((i + 1 < topic->end
           && compare_keys (&topic->entries[order[i + 1]], entry->bytes + 1,
                            key_size)
                  == 0)
          || value_size == 0
          || (after_size >= 0
              && compare_keys (entry, (uint8_t *)after, (size_t)after_size)
                     <= 0))
        continue;
      if (json_array_size (items) == 500 || size > MAX_READ_BYTES)
        {
          more = true;
          break;
        }
      text = malloc (sodium_base64_encoded_len (value_size, 1));
      sodium_bin2base64 (text, sodium_base64_encoded_len (value_size, 1),
                         entry->bytes + 1 + key_size, value_size,
                         sodium_base64_VARIANT_ORIGINAL);
      json_array_append_new (
          items, json_pack ("{s:o s:s s:I}", "key",
                            json_stringn ((char *)entry->bytes + 1, key_size),
                            "value", text, "offset", (json_int_t)order[i]));
      size += value_size;
      free (text);
    }
  free (order);
  respond_json (conn, 200,
                json_pack ("{s:o s:b s:I}", "items", items, "has_more", more,
                           "end", (json_int_t)topic->end));
  return true;
}

/* What workers and the operator write: POST /put?topic=T&key=K, with the value
   as body; &beat=1 for a worker's heartbeat. */
static bool
handle_put (struct conn *conn)
{
  char topic[64];
  char key[300];
  int key_size = query_text (conn, "key", key, sizeof key);

  query_text (conn, "topic", topic, sizeof topic);
  if (query_number (conn, "beat", 0) == 1)
    note_beat (key, conn->body_size > 0);
  put (topic, key, (size_t)key_size, conn->body, conn->body_size);
  respond (conn, 200, "application/json", "{}", 2);
  return true;
}

static bool
handle_store (struct conn *conn)
{
  char name[64];

  if (strcmp (conn->path, "/put") == 0)
    return handle_put (conn);
  if (query_text (conn, "topic", name, sizeof name) < 0)
    {
      respond (conn, 404, "application/json", "{}", 2);
      return true;
    }
  if (strcmp (conn->path, "/-/log-append") == 0)
    return handle_append (conn, find_topic (name));
  if (strcmp (conn->path, "/-/log-read") == 0)
    return handle_read (conn, find_topic (name));
  if (strcmp (conn->path, "/-/log-newest") == 0)
    return handle_newest (conn, find_topic (name));
  respond (conn, 404, "application/json", "{}", 2);
  return true;
}

int
run_store (void)
{
  int listener = listen_at (option ("--ip", "127.0.0.1"),
                            (int)number_option ("--port", 0));

  record_path = option ("--record", NULL);
  if (listener < 0)
    return 2;
  serve (listener, handle_store, store_tick);
  return 0;
}
