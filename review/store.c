/* Stand-in of the platform's store: topics with one partition. */
#include <arpa/inet.h>
#include <endian.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/internal.h"

#define MAX_TOPICS 16
#define REPEATS 5
#define PAGE 500
#define PAGE_BYTES 1000000
#define RECORD_BYTES 262144
#define CALL_BYTES 2097152
#define READ_BYTES ((size_t)1024 * 1024)

struct entry
{
  uint8_t *bytes;
  size_t size;
  int64_t offset;
  bool newest; /* of its key, and with a value */
};

struct repeat
{
  int64_t seq;
  int64_t offset;
  int64_t end;
};

struct topic
{
  char name[64];
  bool keyed;
  struct entry *entries;
  int64_t end;
  int64_t room;
  int64_t epoch;
  int64_t seq;
  struct repeat repeats[REPEATS];
};

static struct topic topics[MAX_TOPICS];
static int topic_count;
static char address[32];
static int port;
static char last_writer[32];
static int refused;
int w_append_ms = 4;

static struct topic *
find_topic (const char *name)
{
  struct topic *topic;

  for (int i = 0; i < topic_count; i++)
    if (strcmp (topics[i].name, name) == 0)
      return &topics[i];
  if (topic_count == MAX_TOPICS)
    return &topics[0];
  topic = &topics[topic_count++];
  snprintf (topic->name, sizeof topic->name, "%s", name);
  topic->keyed = strncmp (name, "keyed.", 6) == 0;
  topic->epoch = -1;
  return topic;
}

static bool
has_key (const struct entry *entry, const uint8_t *bytes, size_t size)
{
  return entry->size > bytes[0] && size > bytes[0]
         && memcmp (entry->bytes, bytes, (size_t)bytes[0] + 1) == 0;
}

static void
add (struct topic *topic, const uint8_t *bytes, size_t size)
{
  struct entry *entry;

  if (topic->end == topic->room)
    {
      topic->room = topic->room > 0 ? topic->room * 2 : 256;
      topic->entries = realloc (topic->entries,
                                (size_t)topic->room * sizeof *topic->entries);
    }
  if (topic->entries == NULL)
    w_finish (W_CANNOT_RUN, "no memory");
  for (int64_t i = topic->end - 1; topic->keyed && size > 0 && i >= 0; i--)
    if (topic->entries[i].newest && has_key (&topic->entries[i], bytes, size))
      {
        topic->entries[i].newest = false;
        break;
      }
  entry = &topic->entries[topic->end];
  entry->offset = topic->end++;
  entry->bytes = malloc (size + 1);
  if (entry->bytes == NULL)
    w_finish (W_CANNOT_RUN, "no memory");
  memcpy (entry->bytes, bytes, size);
  entry->size = size;
  entry->newest = topic->keyed && size > 0 && size > (size_t)bytes[0] + 1;
}

void
world_store_put (const char *name, const char *key, json_t *value)
{
  char *text = value != NULL ? json_dumps (value, JSON_COMPACT) : NULL;
  size_t key_size = strlen (key);
  char *bytes = NULL;
  int size = asprintf (&bytes, "%c%s%s", (int)key_size, key,
                       text != NULL ? text : "");

  if (size < 0)
    w_finish (W_CANNOT_RUN, "no memory");
  add (find_topic (name), (const uint8_t *)bytes, (size_t)size);
  world_changed ();
  free (bytes);
  free (text);
  json_decref (value);
}

/* Whether the records of the body are whole and within the limits. */
static bool
is_allowed (const struct w_request *request)
{
  size_t at = 0;

  if (request->size > CALL_BYTES)
    return false;
  while (at + 4 <= request->size)
    {
      uint32_t length;

      memcpy (&length, request->body + at, 4);
      length = ntohl (length);
      if (length > RECORD_BYTES)
        {
          w_note ("store: refuses an append, since a record of it has %u bytes"
                  ", of %d at most",
                  length, RECORD_BYTES);
          return false;
        }
      at += 4 + length;
    }
  return at == request->size;
}

/* Responds if the append has been stored already or is refused for its
   producer; returns whether it did. */
static bool
check_producer (struct w_request *request, struct topic *topic,
                enum MHD_Result *result)
{
  int64_t epoch = world_argument (request, "epoch", -1);
  int64_t seq = world_argument (request, "seq", 0);

  if (epoch < 0 || epoch > topic->epoch)
    return false;
  if (epoch < topic->epoch)
    {
      *result = world_respond_json (request, 409,
                                    json_pack ("{ss}", "reason", "fenced"));
      return true;
    }
  for (int i = 0; i < REPEATS; i++)
    if (topic->repeats[i].seq == seq && topic->repeats[i].end >= 0)
      {
        *result = world_respond_json (
            request, 200,
            json_pack ("{sIsI}", "offset", topic->repeats[i].offset, "end",
                       topic->repeats[i].end));
        return true;
      }
  if (seq == topic->seq + 1)
    return false;
  *result = world_respond_json (
      request, 409,
      json_pack ("{sssI}", "reason", "seq", "seq", topic->seq + 1));
  return true;
}

/* The host that claims a term names its own address in the record. */
static void
note_writer (const struct w_request *request)
{
  const char *prefix = "127.";
  const char *text = memmem (request->body, request->size, prefix, 4);
  size_t left;

  if (text == NULL)
    return;
  left = request->size - (size_t)(text - request->body);
  for (size_t i = 0; i < left && i + 1 < sizeof last_writer; i++)
    {
      last_writer[i] = text[i];
      last_writer[i + 1] = '\0';
      if (text[i] == ':')
        {
          last_writer[i] = '\0';
          return;
        }
    }
}

static void
store_records (struct topic *topic, const struct w_request *request)
{
  for (size_t at = 0; at + 4 <= request->size;)
    {
      uint32_t length;

      memcpy (&length, request->body + at, 4);
      length = ntohl (length);
      add (topic, (const uint8_t *)request->body + at + 4, length);
      at += 4 + length;
    }
}

static enum MHD_Result
append (struct w_request *request, struct topic *topic)
{
  int64_t at = world_argument (request, "at", -1);
  int64_t epoch = world_argument (request, "epoch", -1);
  int64_t seq = world_argument (request, "seq", 0);
  int64_t first;
  enum MHD_Result result;

  w_unlock ();
  w_sleep ((double)w_append_ms / 1000);
  w_lock ();
  if (!is_allowed (request))
    {
      refused++;
      return world_respond_json (request, 400,
                                 json_pack ("{ss}", "error", "size"));
    }
  if (check_producer (request, topic, &result))
    return result;
  if (at >= 0 && at != topic->end)
    return world_respond_json (request, 412,
                               json_pack ("{sI}", "end", topic->end));
  first = topic->end;
  store_records (topic, request);
  if (epoch > topic->epoch)
    for (int i = 0; i < REPEATS; i++)
      topic->repeats[i] = (struct repeat){ .end = -1 };
  if (epoch >= 0)
    {
      topic->epoch = epoch;
      topic->seq = seq;
      topic->repeats[seq % REPEATS]
          = (struct repeat){ .seq = seq, .offset = first, .end = topic->end };
    }
  if (at >= 0)
    note_writer (request);
  world_changed ();
  return world_respond_json (
      request, 200, json_pack ("{sIsI}", "offset", first, "end", topic->end));
}

static enum MHD_Result
read_log (struct w_request *request, struct topic *topic)
{
  int64_t from = world_argument (request, "from", 0);
  double until
      = w_now () + (double)world_argument (request, "wait_ms", 0) / 1000;
  uint64_t header[2] = { 0, 0 };
  uint8_t *body;
  size_t size = sizeof header;
  int64_t to = from;
  enum MHD_Result result;

  while (from >= topic->end && w_now () < until)
    world_wait (0.01);
  for (; to < topic->end && size < READ_BYTES; to++)
    size += 4 + topic->entries[to].size;
  body = malloc (size);
  if (body == NULL)
    w_finish (W_CANNOT_RUN, "no memory");
  header[0] = htobe64 ((uint64_t)topic->end);
  memcpy (body, header, sizeof header);
  size = sizeof header;
  for (int64_t i = from; i < to; i++)
    {
      uint32_t length = htonl ((uint32_t)topic->entries[i].size);

      memcpy (body + size, &length, 4);
      memcpy (body + size + 4, topic->entries[i].bytes,
              topic->entries[i].size);
      size += 4 + topic->entries[i].size;
    }
  result = world_respond (request, 200, body, size);
  free (body);
  return result;
}

static int
compare_keys (const void *a, const void *b)
{
  const struct entry *one = a;
  const struct entry *other = b;
  size_t size
      = one->bytes[0] < other->bytes[0] ? one->bytes[0] : other->bytes[0];
  int order = memcmp (one->bytes + 1, other->bytes + 1, size);

  return order != 0 ? order : one->bytes[0] - other->bytes[0];
}

static json_t *
item (const struct entry *entry, const char *key)
{
  size_t skip = (size_t)entry->bytes[0] + 1;
  size_t size = sodium_base64_encoded_len (entry->size - skip, 1);
  char *text = malloc (size);
  json_t *result;

  if (text == NULL)
    w_finish (W_CANNOT_RUN, "no memory");
  sodium_bin2base64 (text, size, entry->bytes + skip, entry->size - skip,
                     sodium_base64_VARIANT_ORIGINAL);
  result = json_pack ("{sssssI}", "key", key, "value", text, "offset",
                      (json_int_t)entry->offset);
  free (text);
  return result;
}

static enum MHD_Result
read_newest (struct w_request *request, struct topic *topic)
{
  const char *after = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "after");
  struct entry *sorted = calloc ((size_t)topic->end + 1, sizeof *sorted);
  json_t *items = json_array ();
  size_t count = 0;
  size_t bytes = 0;
  bool more = false;

  if (sorted == NULL)
    w_finish (W_CANNOT_RUN, "no memory");
  for (int64_t i = 0; i < topic->end; i++)
    if (topic->entries[i].newest)
      sorted[count++] = topic->entries[i];
  qsort (sorted, count, sizeof *sorted, compare_keys);
  for (size_t i = 0; i < count && !more; i++)
    {
      char key[256];

      snprintf (key, sizeof key, "%.*s", sorted[i].bytes[0],
                (const char *)sorted[i].bytes + 1);
      if (after != NULL && strcmp (key, after) <= 0)
        continue;
      more = json_array_size (items) == PAGE || bytes > PAGE_BYTES;
      if (!more)
        json_array_append_new (items, item (&sorted[i], key));
      bytes += sorted[i].size;
    }
  free (sorted);
  return world_respond_json (request, 200,
                             json_pack ("{sosbsI}", "items", items, "has_more",
                                        more, "end", topic->end));
}

static enum MHD_Result
handle (struct w_request *request)
{
  const char *name = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "topic");
  struct topic *topic = find_topic (name != NULL ? name : "");

  if (strcmp (request->path, "/-/log-append") == 0)
    return append (request, topic);
  if (strcmp (request->path, "/-/log-read") == 0)
    return read_log (request, topic);
  if (strcmp (request->path, "/-/log-newest") == 0)
    return read_newest (request, topic);
  return world_respond_json (request, 404,
                             json_pack ("{ss}", "error", "path"));
}

void
world_start_store (void)
{
  world_address (address, sizeof address, 1);
  port = world_free_port (address);
  world_serve (address, port, handle, NULL);
}

json_t *
world_store_settings (void)
{
  char text[64];

  snprintf (text, sizeof text, "%s:%d", address, port);
  return json_pack ("{sssssisisisisfsfsisisisi}", "addr", text, "form", "log",
                    "writes_per_s", 800, "reads_per_s", 2000, "parts", 24,
                    "append_ms", 1, "part_mb_s", 20.0, "read_mb_s", 80.0,
                    "record_bytes", RECORD_BYTES, "call_bytes", CALL_BYTES,
                    "keep_s", 300, "ttl_min_ms", 1000);
}

void
world_last_writer (char *text, size_t size)
{
  w_lock ();
  snprintf (text, size, "%s", last_writer);
  w_unlock ();
}

int
w_refused_appends (void)
{
  int count;

  w_lock ();
  count = refused;
  w_unlock ();
  return count;
}

void
w_configure (const char *config)
{
  json_t *value = json_loads (config, 0, NULL);

  if (value == NULL)
    w_finish (W_CANNOT_RUN, "configuration malformed");
  w_lock ();
  world_store_put ("keyed.op", "config", value);
  w_unlock ();
  w_note ("operator: configuration %s", config);
}
