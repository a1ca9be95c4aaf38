#include "t/standin/si-store.h"

#include <endian.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#define LENGTH_BYTES 4

/* Size of a read with more than one record. */
#define MAX_READ_BYTES ((size_t)1024 * 1024)

/* What stands in a page for a byte that is no UTF-8. */
#define REPLACEMENT "\xEF\xBF\xBD"

struct record
{
  bool has_key;
  uint8_t *bytes; /* includes the key's length and the key */
  size_t size;
  size_t value_offset;
};

struct topic
{
  char name[64];
  bool keyed;
  struct record *records;
  int64_t end;
  int64_t allocated;
  int64_t epoch;
  int64_t sequence; /* of the newest append in that epoch */
  int64_t last_offset;
  struct topic *next;
};

int64_t si_lose_permille;
int si_page_records = 500;
uint32_t si_record_bytes = 262144;
static struct topic *topics;
static unsigned random_state = 1;

double
si_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

int64_t
si_draw_permille (void)
{
  random_state = random_state * 1103515245u + 12345u;
  return (random_state >> 16) % 1000;
}

bool
si_loses_response (void)
{
  return si_draw_permille () < si_lose_permille;
}

void
si_respond_or_lose (struct si_request *request, unsigned status, json_t *body)
{
  if (si_loses_response ())
    {
      json_decref (body);
      si_suspend (request);
      return;
    }
  si_respond_json (request, status, body);
}

void
si_seed_losses (unsigned seed)
{
  random_state = seed;
}

static struct topic *
find_or_create_topic (const char *name)
{
  struct topic *topic;

  LL_FOREACH (topics, topic)
  {
    if (strcmp (topic->name, name) == 0)
      return topic;
  }
  topic = calloc (1, sizeof *topic);
  snprintf (topic->name, sizeof topic->name, "%s", name);
  topic->keyed = strncmp (name, "keyed.", 6) == 0;
  topic->epoch = -1;
  LL_PREPEND (topics, topic);
  return topic;
}

static struct topic *
requested_topic (struct si_request *request)
{
  const char *name = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "topic");

  return find_or_create_topic (name != NULL ? name : "none");
}

static void
add_record (struct topic *topic, const uint8_t *bytes, size_t size)
{
  struct record *record;

  if (topic->end == topic->allocated)
    {
      topic->allocated = topic->allocated == 0 ? 256 : topic->allocated * 2;
      topic->records = realloc (topic->records, (size_t)topic->allocated
                                                    * sizeof *topic->records);
    }
  record = &topic->records[topic->end++];
  memset (record, 0, sizeof *record);
  record->bytes = malloc (size + 1);
  memcpy (record->bytes, bytes, size);
  record->size = size;
  if (topic->keyed && size > 0)
    {
      record->value_offset = 1 + (size_t)bytes[0];
      record->has_key = record->value_offset <= size;
    }
}

static void
respond_read (struct si_request *request, const struct topic *topic,
              int64_t from)
{
  size_t size = 16;
  int64_t end = from;
  uint8_t *body;
  uint8_t *at;
  uint64_t header[2] = { htobe64 ((uint64_t)topic->end), 0 };

  while (end < topic->end
         && (end == from || size + topic->records[end].size < MAX_READ_BYTES))
    size += LENGTH_BYTES + topic->records[end++].size;
  body = malloc (size);
  memcpy (body, header, sizeof header);
  at = body + sizeof header;
  for (int64_t i = from; i < end; i++)
    {
      uint32_t length = htobe32 ((uint32_t)topic->records[i].size);

      memcpy (at, &length, LENGTH_BYTES);
      memcpy (at + LENGTH_BYTES, topic->records[i].bytes,
              topic->records[i].size);
      at += LENGTH_BYTES + topic->records[i].size;
    }
  si_respond_shared (request, body, size, NULL);
  free (body);
}

/* Responds once there are records or the wait is over; else tries again. */
static void
continue_read (struct si_request *request, void *context)
{
  struct topic *topic = context;
  int64_t from = si_argument (request, "from", 0);
  double deadline = request->deadline;

  if (from < topic->end || si_now () >= deadline)
    respond_read (request, topic, from < topic->end ? from : topic->end);
  else
    si_defer (request, SI_RETRY_INTERVAL_SEC, continue_read, topic);
}

void
si_store_read (struct si_request *request)
{
  request->deadline
      = si_now () + (double)si_argument (request, "wait_ms", 0) / 1000;
  continue_read (request, requested_topic (request));
}

/* Responds if the append is refused or was applied before; returns whether it
   did.  */
static bool
respond_without_append (struct si_request *request, const struct topic *topic)
{
  int64_t expected_end = si_argument (request, "at", -1);
  int64_t epoch = si_argument (request, "epoch", -1);
  int64_t sequence = si_argument (request, "seq", -1);

  if (expected_end >= 0 && expected_end != topic->end)
    {
      si_respond_or_lose (request, MHD_HTTP_PRECONDITION_FAILED,
                          json_pack ("{sI}", "end", (json_int_t)topic->end));
      return true;
    }
  if (epoch < 0 || epoch > topic->epoch)
    return false;
  if (epoch < topic->epoch)
    si_respond_or_lose (request, MHD_HTTP_CONFLICT,
                        json_pack ("{ss}", "reason", "fenced"));
  else if (sequence == topic->sequence)
    si_respond_or_lose (request, MHD_HTTP_OK,
                        json_pack ("{sI sI}", "offset",
                                   (json_int_t)topic->last_offset, "end",
                                   (json_int_t)topic->end));
  else if (sequence != topic->sequence + 1)
    si_respond_or_lose (request, MHD_HTTP_CONFLICT,
                        json_pack ("{ss sI}", "reason", "seq", "seq",
                                   (json_int_t)topic->sequence + 1));
  else
    return false;
  return true;
}

static uint32_t
length_at (const uint8_t *at)
{
  uint32_t length;

  memcpy (&length, at, LENGTH_BYTES);
  return be32toh (length);
}

/* Whether each record of the request has a size that the store takes. */
static bool
are_sizes_valid (const struct si_request *request)
{
  const uint8_t *at = (const uint8_t *)request->body;
  size_t remaining = request->size;

  while (remaining > LENGTH_BYTES)
    {
      uint32_t length = length_at (at);

      if (length > si_record_bytes || length > remaining - LENGTH_BYTES)
        return false;
      at += LENGTH_BYTES + length;
      remaining -= LENGTH_BYTES + length;
    }
  return remaining == 0;
}

void
si_store_append (struct si_request *request)
{
  struct topic *topic = requested_topic (request);
  const uint8_t *at = (const uint8_t *)request->body;
  size_t remaining = request->size;

  if (!are_sizes_valid (request))
    {
      si_respond_json (request, MHD_HTTP_BAD_REQUEST, json_object ());
      return;
    }
  if (respond_without_append (request, topic))
    return;
  topic->last_offset = topic->end;
  if (si_argument (request, "epoch", -1) >= 0)
    {
      topic->epoch = si_argument (request, "epoch", -1);
      topic->sequence = si_argument (request, "seq", 0);
    }
  while (remaining > LENGTH_BYTES)
    {
      uint32_t length = length_at (at);

      add_record (topic, at + LENGTH_BYTES, length);
      at += LENGTH_BYTES + length;
      remaining -= LENGTH_BYTES + length;
    }
  si_respond_or_lose (request, MHD_HTTP_OK,
                      json_pack ("{sI sI}", "offset",
                                 (json_int_t)topic->last_offset, "end",
                                 (json_int_t)topic->end));
}

/* Returns the key of RECORD as a string, with bytes that are no UTF-8
   replaced. */
static json_t *
key_to_json (const struct record *record)
{
  const char *key = (const char *)record->bytes + 1;
  size_t size = record->bytes[0];
  json_t *whole = json_stringn (key, size);
  char text[UINT8_MAX * (sizeof REPLACEMENT - 1)];
  size_t length = 0;

  if (whole != NULL)
    return whole;
  for (size_t i = 0; i < size; i++)
    if ((unsigned char)key[i] < 0x80)
      text[length++] = key[i];
    else
      {
        memcpy (text + length, REPLACEMENT, sizeof REPLACEMENT - 1);
        length += sizeof REPLACEMENT - 1;
      }
  return json_stringn (text, length);
}

static json_t *
newest_item_to_json (const struct topic *topic, int64_t offset)
{
  const struct record *record = &topic->records[offset];
  size_t size = record->size - record->value_offset;
  size_t text_size = sodium_base64_encoded_len (size, 1);
  char *text = malloc (text_size);
  json_t *item;

  sodium_bin2base64 (text, text_size, record->bytes + record->value_offset,
                     size, sodium_base64_VARIANT_ORIGINAL);
  item = json_pack ("{so ss sI}", "key", key_to_json (record), "value", text,
                    "offset", (json_int_t)offset);
  free (text);
  return item;
}

/* Compares A with the key of B by their bytes. */
static int
compare_key (const uint8_t *a, size_t a_size, const struct record *b)
{
  size_t b_size = b->bytes[0];
  int order = memcmp (a, b->bytes + 1, a_size < b_size ? a_size : b_size);

  return order != 0 ? order : (a_size > b_size) - (a_size < b_size);
}

static bool
is_newest (const struct topic *topic, int64_t offset)
{
  const struct record *record = &topic->records[offset];

  if (!record->has_key || record->size == record->value_offset)
    return false;
  for (int64_t i = offset + 1; i < topic->end; i++)
    if (topic->records[i].has_key
        && compare_key (record->bytes + 1, record->bytes[0],
                        &topic->records[i])
               == 0)
      return false;
  return true;
}

static const struct topic *sorted_topic;

static int
compare_offsets (const void *a, const void *b)
{
  const struct record *first = &sorted_topic->records[*(const int64_t *)a];

  return compare_key (first->bytes + 1, first->bytes[0],
                      &sorted_topic->records[*(const int64_t *)b]);
}

/* Returns the offsets of the newest records of TOPIC in the order of their
   keys, from the one that follows the key of the request; the caller frees
   them. */
static int64_t *
sort_newest (const struct si_request *request, const struct topic *topic,
             size_t *count)
{
  int64_t *offsets = calloc ((size_t)topic->end + 1, sizeof *offsets);
  const char *after = NULL;
  size_t after_size = 0;

  MHD_lookup_connection_value_n (request->connection, MHD_GET_ARGUMENT_KIND,
                                 "after", strlen ("after"), &after,
                                 &after_size);
  *count = 0;
  for (int64_t i = 0; i < topic->end; i++)
    if (is_newest (topic, i)
        && (after == NULL
            || compare_key ((const uint8_t *)after, after_size,
                            &topic->records[i])
                   < 0))
      offsets[(*count)++] = i;
  sorted_topic = topic;
  qsort (offsets, *count, sizeof *offsets, compare_offsets);
  return offsets;
}

void
si_store_newest (struct si_request *request)
{
  static const char *const headers[]
      = { "Content-Type", "application/json", NULL };
  const struct topic *topic = requested_topic (request);
  size_t page = (size_t)si_page_records;
  json_t *items = json_array ();
  size_t count;
  int64_t *offsets = sort_newest (request, topic, &count);
  json_t *body;
  char *text;

  for (size_t i = 0; i < count && i < page; i++)
    json_array_append_new (items, newest_item_to_json (topic, offsets[i]));
  free (offsets);
  body = json_pack ("{so sb sI}", "items", items, "has_more", count > page,
                    "end", (json_int_t)topic->end);
  if (si_loses_response ())
    si_suspend (request);
  else
    {
      text = json_dumps (body, JSON_COMPACT);
      si_respond_shared (request, text, strlen (text), headers);
      free (text);
    }
  json_decref (body);
}

/* Copies KEY and TEXT without their terminating zero bytes. */
static void
copy_key_and_value (uint8_t *at, const char *key, const char *text)
{
  while (*key != '\0')
    *at++ = (uint8_t)*key++;
  while (*text != '\0')
    *at++ = (uint8_t)*text++;
}

void
si_store_put (const char *name, const char *key, json_t *value)
{
  struct topic *topic = find_or_create_topic (name);
  char *text = value != NULL ? json_dumps (value, JSON_COMPACT) : strdup ("");
  size_t key_size = strlen (key);
  size_t size = 1 + key_size + strlen (text);
  uint8_t *bytes = malloc (size + 1);

  bytes[0] = (uint8_t)key_size;
  copy_key_and_value (bytes + 1, key, text);
  add_record (topic, bytes, size);
  free (bytes);
  free (text);
  json_decref (value);
}
