#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "base/err.h"
#include "daemon/front_impl.h"

#define MAX_DEADLINE_MS 60000
#define MAX_IMPORTANCE 9
#define MAX_KEY_BYTES 128

enum header_use
{
  HEADER_FORWARD, /**< forwarded unchanged */
  HEADER_REMOVE,  /**< only valid for one connection, or generated anew */
  HEADER_SERVICE,
  HEADER_DEADLINE,
  HEADER_IMPORTANCE,
  HEADER_KEY,
  HEADER_TRACE,
  HEADER_LENGTH
};

static const struct
{
  const char *name;
  enum header_use use;
} known_headers[] = {
  { "Connection", HEADER_REMOVE },
  { "Content-Length", HEADER_LENGTH },
  { "Expect", HEADER_REMOVE },
  { "Host", HEADER_REMOVE },
  { "Idempotency-Key", HEADER_KEY },
  { "Keep-Alive", HEADER_REMOVE },
  { "Kumquatrack-Deadline-Ms", HEADER_DEADLINE },
  { "Kumquatrack-Importance", HEADER_IMPORTANCE },
  { "Kumquatrack-Service", HEADER_SERVICE },
  { "Proxy-Authorization", HEADER_REMOVE },
  { "Proxy-Connection", HEADER_REMOVE },
  { "TE", HEADER_REMOVE },
  { "Trailer", HEADER_REMOVE },
  { "Transfer-Encoding", HEADER_REMOVE },
  { "Upgrade", HEADER_REMOVE },
  { "traceparent", HEADER_TRACE },
};

static enum header_use
header_use (const char *name)
{
  for (size_t i = 0; i < sizeof known_headers / sizeof known_headers[0]; i++)
    if (strcasecmp (name, known_headers[i].name) == 0)
      return known_headers[i].use;
  return HEADER_FORWARD;
}

static int
read_number (const char *text, long min, long max, long *value)
{
  char *end;

  *value = strtol (text, &end, 10);
  if (end == text || *end != '\0' || *value < min || *value > max)
    return KQ_ERANGE;
  return 0;
}

static int
read_deadline (struct kq_front_call *call, const char *value)
{
  long ms;
  int err = read_number (value, 1, MAX_DEADLINE_MS, &ms);

  if (err == 0)
    call->arrival.deadline = call->arrived + ms * KQ_USEC_PER_MSEC;
  return err;
}

static int
read_importance (struct kq_front_call *call, const char *value)
{
  long importance;
  int err = read_number (value, 0, MAX_IMPORTANCE, &importance);

  if (err == 0)
    call->arrival.importance = (int32_t)importance;
  return err;
}

/* The service's name is added to the hash when the request is complete. */
static int
read_key (struct kq_front_call *call, const char *value)
{
  size_t length = strlen (value);
  XXH128_hash_t hash = XXH3_128bits (value, length);

  if (length == 0)
    return KQ_ESYNTAX;
  if (length > MAX_KEY_BYTES)
    return KQ_ETOOBIG;
  call->arrival.keyed = true;
  call->arrival.key.hash[0] = hash.high64;
  call->arrival.key.hash[1] = hash.low64;
  return 0;
}

static int
check_length (const char *value)
{
  char *end;
  unsigned long long length = strtoull (value, &end, 10);

  if (end == value || *end != '\0')
    return KQ_ESYNTAX;
  return length > KQ_FRONT_BODY_LIMIT ? KQ_ETOOBIG : 0;
}

/* A malformed traceparent is ignored, as W3C Trace Context requires. */
static int
read_trace (struct kq_front_call *call, const char *value)
{
  kq_trace_parse (value, call->trace.span, &call->trace);
  return 0;
}

static int
read_header (struct kq_front_call *call, const char *name, const char *value)
{
  int err = 0;

  switch (header_use (name))
    {
    case HEADER_REMOVE:
      return 0;
    case HEADER_TRACE:
      return read_trace (call, value);
    case HEADER_LENGTH:
      return check_length (value);
    case HEADER_DEADLINE:
      return read_deadline (call, value);
    case HEADER_SERVICE:
      err = kq_name_set (&call->arrival.service, value);
      break;
    case HEADER_IMPORTANCE:
      err = read_importance (call, value);
      break;
    case HEADER_KEY:
      err = read_key (call, value);
      break;
    case HEADER_FORWARD:
      break;
    }
  return err != 0 ? err : kq_front_call_add_header (call, name, value);
}

static enum MHD_Result
on_header (void *context, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
  struct kq_front_call *call = context;
  int err = read_header (call, name, value != NULL ? value : "");

  if (err != 0 && call->read_err == 0)
    call->read_err = err;
  return MHD_YES;
}

void
kq_front_headers_read (struct kq_front_call *call, const char *method)
{
  struct kq_front *front = call->front;

  kq_trace_begin (&call->trace, kq_front_random (front),
                  kq_front_random (front), kq_front_random (front));
  if (strlen (method) >= sizeof call->method)
    {
      call->read_err = KQ_ETOOBIG;
      return;
    }
  strcpy (call->method, method);
  call->arrival.idempotent
      = strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, on_header,
                             call);
  if (call->read_err == 0 && kq_name_empty (&call->arrival.service))
    call->read_err = KQ_EREQ_NO_SERVICE;
}

void
kq_front_headers_complete_key (struct kq_front_call *call)
{
  struct kq_request_key *key = &call->arrival.key;
  XXH64_hash_t hash;

  if (!call->arrival.keyed)
    return;
  key->hash[0] = XXH3_64bits_withSeed (call->arrival.service.text,
                                       strlen (call->arrival.service.text),
                                       key->hash[0]);
  hash = XXH3_64bits (call->method, strlen (call->method));
  hash = XXH3_64bits_withSeed (call->uri, strlen (call->uri), hash);
  key->fingerprint
      = XXH3_64bits_withSeed (call->body.data, call->body.size, hash);
}

bool
kq_front_headers_is_forwarded (const char *name, size_t length)
{
  static const char *const removed[]
      = { "Connection",        "Content-Length", "Keep-Alive",
          "Transfer-Encoding", "Trailer",        "Kumquatrack-Outcome" };

  for (size_t i = 0; i < sizeof removed / sizeof removed[0]; i++)
    if (strlen (removed[i]) == length
        && strncasecmp (name, removed[i], length) == 0)
      return false;
  return true;
}
