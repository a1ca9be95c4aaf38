#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <zmq.h>

#include "base/err.h"
#include "daemon/front_impl.h"
#include "request/hop.pb-c.h"

static int
send_message (void *socket, const struct kq_front_origin *origin,
              const Kq__Hop__Message *message)
{
  zmq_msg_t frame;
  size_t size = kq__hop__message__get_packed_size (message);
  int err;

  if (zmq_msg_init_size (&frame, size) != 0)
    return KQ_ENOMEM;
  kq__hop__message__pack (message, zmq_msg_data (&frame));
  err = kq_front_hop_send_frame (socket, origin, &frame);
  if (err != 0)
    zmq_msg_close (&frame);
  return err;
}

static void
fill_request (const struct kq_front_call *call,
              const struct kq_request_effect *effect,
              Kq__Hop__Request *request)
{
  request->service = (char *)call->arrival.service.text;
  request->method = (char *)call->method;
  request->uri = call->uri;
  request->importance = call->arrival.importance;
  request->idempotent = call->arrival.idempotent;
  request->keyed = call->arrival.keyed && effect->u.send.keyed;
  request->key_high = call->arrival.key.hash[0];
  request->key_low = call->arrival.key.hash[1];
  request->fingerprint = call->arrival.key.fingerprint;
  request->homed = effect->u.send.homed;
  request->claim = effect->u.send.claim;
}

static void
fill_content (const struct kq_front_call *call, Kq__Hop__Request *request,
              char **headers)
{
  request->body.data = (uint8_t *)call->body.data;
  request->body.len = call->body.size;
  request->headers = headers;
  for (size_t offset = 0; offset < call->headers.size;
       offset += strlen (call->headers.data + offset) + 1)
    headers[request->n_headers++] = call->headers.data + offset;
}

int
kq_front_hop_send (struct kq_front_attempt *attempt,
                   const struct kq_request_effect *effect)
{
  struct kq_front_call *call = attempt->call;
  struct kq_front *front = call->front;
  Kq__Hop__Message message = KQ__HOP__MESSAGE__INIT;
  Kq__Hop__Request request = KQ__HOP__REQUEST__INIT;
  char *headers[KQ_FRONT_MAX_HEADERS];
  char traceparent[KQ_TRACE_PARENT_SIZE];
  int err;

  HASH_FIND_STR (front->peers, effect->u.send.address, attempt->peer);
  if (attempt->peer == NULL)
    return KQ_EREQ_NO_ENDPOINT;
  fill_request (call, effect, &request);
  if (!effect->u.send.claim)
    fill_content (call, &request, headers);
  request.deadline_us = effect->u.send.deadline - attempt->started;
  kq_trace_format (&attempt->trace, traceparent);
  request.traceparent = traceparent;
  message.id = call->arrival.id;
  message.attempt = attempt->number;
  message.kind_case = KQ__HOP__MESSAGE__KIND_REQUEST;
  message.request = &request;
  err = send_message (attempt->peer->socket, NULL, &message);
  front->hop_pending = true;
  return err != 0 ? KQ_EREQ_NO_ENDPOINT : 0;
}

void
kq_front_hop_abort (struct kq_front_attempt *attempt)
{
  Kq__Hop__Message message = KQ__HOP__MESSAGE__INIT;
  Kq__Hop__Cancel cancel = KQ__HOP__CANCEL__INIT;

  message.id = attempt->call->arrival.id;
  message.attempt = attempt->number;
  message.kind_case = KQ__HOP__MESSAGE__KIND_CANCEL;
  message.cancel = &cancel;
  /* If the message is lost, the request ends at its deadline. */
  send_message (attempt->peer->socket, NULL, &message);
  attempt->call->front->hop_pending = true;
}

static size_t
count_headers (const struct kq_response *answer)
{
  size_t position = 0;
  size_t count = 0;
  const char *value;

  while (kq_response_header (answer, &position, &value) != NULL)
    count++;
  return count;
}

/* Returns the array of headers, which the caller must free, or NULL when out
   of memory.  */
static char **
fill_answer (struct kq_response *from, Kq__Hop__Answer *answer)
{
  size_t count = from != NULL ? count_headers (from) : 0;
  char **headers = calloc (2 * count + 1, sizeof *headers);
  size_t position = 0;
  const char *name;
  const char *value;

  if (headers == NULL || from == NULL)
    return headers;
  answer->status = kq_response_status (from);
  answer->headers = headers;
  answer->body.data = (uint8_t *)kq_response_body (from, &answer->body.len);
  while ((name = kq_response_header (from, &position, &value)) != NULL)
    {
      headers[answer->n_headers++] = (char *)name;
      headers[answer->n_headers++] = (char *)value;
    }
  return headers;
}

void
kq_front_hop_reply (struct kq_front_call *call)
{
  struct kq_front *front = call->front;
  Kq__Hop__Message message = KQ__HOP__MESSAGE__INIT;
  Kq__Hop__Answer answer = KQ__HOP__ANSWER__INIT;
  char **headers = fill_answer (call->answer, &answer);

  /* Without a reply, the forwarding host reports "unknown" at the
     deadline.  */
  if (headers == NULL)
    return;
  answer.outcome = (int32_t)call->outcome;
  answer.err = call->err;
  answer.free = call->free_slots;
  message.id = call->origin->id;
  message.attempt = call->origin->attempt;
  message.kind_case = KQ__HOP__MESSAGE__KIND_ANSWER;
  message.answer = &answer;
  send_message (front->router_socket, call->origin, &message);
  free (headers);
  front->hop_pending = true;
}

void
kq_front_hop_send_key_result (struct kq_front *front,
                              const struct kq_request_effect *effect)
{
  const struct kq_request_key_result *key_result
      = &effect->u.settle.key_result;
  Kq__Hop__Message message = KQ__HOP__MESSAGE__INIT;
  Kq__Hop__Settle settle = KQ__HOP__SETTLE__INIT;
  Kq__Hop__Answer answer = KQ__HOP__ANSWER__INIT;
  char **headers = fill_answer (key_result->answer, &answer);
  struct kq_front_peer *peer;

  HASH_FIND_STR (front->peers, effect->u.settle.address, peer);
  if (headers != NULL && peer != NULL)
    {
      answer.outcome = (int32_t)key_result->outcome;
      answer.err = key_result->err;
      settle.key_high = key_result->key.hash[0];
      settle.key_low = key_result->key.hash[1];
      settle.fingerprint = key_result->key.fingerprint;
      settle.answer = &answer;
      message.kind_case = KQ__HOP__MESSAGE__KIND_SETTLE;
      message.settle = &settle;
      send_message (peer->socket, NULL, &message);
      front->hop_pending = true;
    }
  free (headers);
  kq_response_unref (key_result->answer);
}

static bool
is_single_line (const char *text)
{
  return strpbrk (text, "\r\n") == NULL;
}

/* Validates the request of a message and copies it to CALL. */
static int
read_request (struct kq_front_call *call, const Kq__Hop__Request *request)
{
  struct kq_request_arrival *arrival = &call->arrival;
  struct kq_front *front = call->front;
  uint64_t span = kq_front_random (front);
  int err = kq_name_set (&arrival->service, request->service);

  kq_trace_begin (&call->trace, kq_front_random (front), span, span);
  kq_trace_parse (request->traceparent, span, &call->trace);
  if (strlen (request->method) >= sizeof call->method
      || !is_single_line (request->method) || strpbrk (request->uri, " \r\n"))
    return KQ_ESYNTAX;
  strcpy (call->method, request->method);
  for (size_t i = 0; i < request->n_headers && err == 0; i++)
    err = is_single_line (request->headers[i])
              ? kq_front_call_add_header_line (call, request->headers[i])
              : KQ_ESYNTAX;
  if (err == 0)
    err = kq_buffer_add (&call->body, request->body.data, request->body.len);
  arrival->forwarded = true;
  arrival->homed = request->homed;
  arrival->claim = request->claim;
  arrival->idempotent = request->idempotent;
  arrival->importance = request->importance;
  arrival->deadline = call->arrived + request->deadline_us;
  arrival->keyed = request->keyed;
  arrival->key.hash[0] = request->key_high;
  arrival->key.hash[1] = request->key_low;
  arrival->key.fingerprint = request->fingerprint;
  return err;
}

static void
on_request (struct kq_front *front, const struct kq_front_origin *origin,
            const Kq__Hop__Message *message)
{
  struct kq_front_call *call
      = kq_front_call_create (front, message->request->uri);
  int err;

  if (call == NULL)
    return;
  call->origin = malloc (sizeof *call->origin);
  if (call->origin == NULL)
    {
      call->outcome = KQ_OUTCOME_NOT_RUN;
      call->err = KQ_ENOMEM;
      kq_front_call_finish (call);
      return;
    }
  *call->origin = *origin;
  call->origin->id = message->id;
  call->origin->attempt = message->attempt;
  err = read_request (call, message->request);
  if (err == 0 && front->stopping)
    err = KQ_ESTOPPING;
  if (err == 0)
    {
      kq_front_call_submit (call);
      return;
    }
  call->outcome = KQ_OUTCOME_NOT_RUN;
  call->err = err;
  kq_front_hop_reply (call);
  kq_front_call_finish (call);
}

static void
on_cancel (struct kq_front *front, const struct kq_front_origin *origin,
           const Kq__Hop__Message *message)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_DISCONNECT };
  struct kq_front_call *call;
  struct kq_front_call *next;

  HASH_ITER (hh, front->calls, call, next)
  if (call->origin != NULL && !call->replied && call->origin->id == message->id
      && call->origin->routing_id_size == origin->routing_id_size
      && memcmp (call->origin->routing_id, origin->routing_id,
                 origin->routing_id_size)
             == 0)
    {
      event.u.disconnected_id = call->arrival.id;
      kq_front_process_event (front, &event);
      return;
    }
}

/* Returns the response in a message, or NULL with *ERR set. */
static struct kq_response *
read_answer (const Kq__Hop__Answer *from, int *err)
{
  struct kq_response *answer
      = kq_response_create (from->status, KQ_FRONT_BODY_LIMIT);

  *err = KQ_ENOMEM;
  if (answer == NULL)
    return NULL;
  *err = kq_response_add_body (answer, from->body.data, from->body.len);
  for (size_t i = 0; i + 1 < from->n_headers && *err == 0; i += 2)
    *err = kq_response_add_header (
        answer, from->headers[i], strlen (from->headers[i]),
        from->headers[i + 1], strlen (from->headers[i + 1]));
  if (*err == 0 && (from->status < 200 || from->status > 999))
    *err = KQ_ESYNTAX;
  if (*err == 0)
    return answer;
  kq_response_unref (answer);
  return NULL;
}

static void
on_answer (struct kq_front *front, const Kq__Hop__Message *message)
{
  struct kq_front_call *call = kq_front_call_find (front, message->id);
  struct kq_front_attempt *attempt = NULL;
  const Kq__Hop__Answer *from = message->answer;
  struct kq_response *answer;
  int err = from->err;

  if (call != NULL)
    DL_SEARCH_SCALAR (call->attempts, attempt, number, message->attempt);
  if (attempt == NULL || attempt->kind != KQ_FRONT_ATTEMPT_HOP)
    return;
  attempt->has_free_slots = true;
  attempt->free_slots = from->free;
  switch (from->outcome)
    {
    case KQ_OUTCOME_ANSWERED:
      answer = read_answer (from, &err);
      kq_front_attempt_end (
          attempt, answer != NULL ? KQ_OUTCOME_ANSWERED : KQ_OUTCOME_UNKNOWN,
          err, answer);
      return;
    case KQ_OUTCOME_NOT_RUN:
    case KQ_OUTCOME_INVALID:
      kq_front_attempt_end (attempt, (enum kq_outcome)from->outcome, err,
                            NULL);
      return;
    default:
      kq_front_attempt_end (attempt, KQ_OUTCOME_UNKNOWN, err, NULL);
      return;
    }
}

static void
on_key_result (struct kq_front *front, const Kq__Hop__Settle *settle)
{
  struct kq_request_event event = { .kind = KQ_REQ_EV_KEY_RESULT };
  const Kq__Hop__Answer *answer = settle->answer;
  int err = 0;

  if (answer == NULL || answer->outcome < KQ_OUTCOME_ANSWERED
      || answer->outcome > KQ_OUTCOME_UNKNOWN)
    return;
  event.u.settle.key.hash[0] = settle->key_high;
  event.u.settle.key.hash[1] = settle->key_low;
  event.u.settle.key.fingerprint = settle->fingerprint;
  event.u.settle.outcome = (enum kq_outcome)answer->outcome;
  event.u.settle.err = answer->err;
  if (answer->outcome == KQ_OUTCOME_ANSWERED)
    event.u.settle.answer = read_answer (answer, &err);
  if (err == 0)
    kq_front_process_event (front, &event);
}

void
kq_front_message_handle (struct kq_front *front,
                         const struct kq_front_origin *origin, void *data,
                         size_t size)
{
  Kq__Hop__Message *message = kq__hop__message__unpack (NULL, size, data);
  Kq__Hop__Message__KindCase kind
      = message != NULL ? message->kind_case : KQ__HOP__MESSAGE__KIND__NOT_SET;

  if (kind == KQ__HOP__MESSAGE__KIND_REQUEST && origin != NULL)
    on_request (front, origin, message);
  else if (kind == KQ__HOP__MESSAGE__KIND_CANCEL && origin != NULL)
    on_cancel (front, origin, message);
  else if (kind == KQ__HOP__MESSAGE__KIND_SETTLE && origin != NULL)
    on_key_result (front, message->settle);
  else if (kind == KQ__HOP__MESSAGE__KIND_ANSWER && origin == NULL)
    on_answer (front, message);
  else
    kq_front_count_bad_message ();
  if (message != NULL)
    kq__hop__message__free_unpacked (message, NULL);
}
