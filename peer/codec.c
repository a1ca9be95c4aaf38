#include "peer/codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#include "base/err.h"
#include "platform/codec.h"

#define PROTOCOL_VERSION 1

/* Batches shorter than this, in bytes, are sent uncompressed: compression
   saves too little.  */
#define COMPRESS_MIN_BYTES 256

#define COMPRESSION_LEVEL 3

static int
shards_to_wire (const struct kq_peer_message *message, Kq__Peer__Message *wire)
{
  wire->shards = calloc (message->shard_count + 1, sizeof (void *));
  if (wire->shards == NULL)
    return KQ_ENOMEM;
  for (size_t i = 0; i < message->shard_count; i++)
    {
      const struct kq_shard_state *state = &message->shards[i];
      Kq__Peer__Shard *shard = malloc (sizeof *shard);

      if (shard == NULL)
        return KQ_ENOMEM;
      kq__peer__shard__init (shard);
      wire->shards[wire->n_shards++] = shard;
      shard->name = strdup (state->name.text);
      shard->epoch = state->epoch;
      shard->cpu_milli = state->largest.cpu_milli;
      shard->memory_mb = state->largest.memory_mb;
      shard->accelerators = state->largest.accelerators;
      if (shard->name == NULL)
        return KQ_ENOMEM;
    }
  return 0;
}

static int
record_to_wire (const struct kq_record *record, Kq__Peer__Message *wire)
{
  json_t *object = kq_codec_record_write (record);
  char *text = object == NULL ? NULL : json_dumps (object, JSON_COMPACT);

  json_decref (object);
  wire->record_id = strdup (record->id.text);
  wire->record.data = (uint8_t *)text;
  wire->record.len = text == NULL ? 0 : strlen (text);
  return text != NULL && wire->record_id != NULL ? 0 : KQ_ENOMEM;
}

Kq__Peer__Message *
kq_peer_message_to_wire (const struct kq_peer_message *message)
{
  Kq__Peer__Message *wire = malloc (sizeof *wire);
  int err;

  if (wire == NULL)
    return NULL;
  kq__peer__message__init (wire);
  wire->kind = (uint32_t)message->kind + 1;
  wire->view = message->view;
  wire->offset = message->offset;
  wire->revision = message->revision;
  err = shards_to_wire (message, wire);
  if (err == 0 && message->record != NULL)
    err = record_to_wire (message->record, wire);
  if (err != 0)
    {
      kq__peer__message__free_unpacked (wire, NULL);
      return NULL;
    }
  return wire;
}

/* Packs BATCH into ENVELOPE, compressed if COMPRESS is set and the compressed
   form is shorter.  */
static int
fill_envelope (Kq__Peer__Envelope *envelope, const Kq__Peer__Batch *batch,
               bool compress)
{
  size_t raw_size = kq__peer__batch__get_packed_size (batch);
  uint8_t *raw = malloc (raw_size + 1);
  uint8_t *packed = NULL;
  size_t size = 0;

  if (raw == NULL)
    return KQ_ENOMEM;
  kq__peer__batch__pack (batch, raw);
  if (compress && raw_size >= COMPRESS_MIN_BYTES)
    packed = malloc (raw_size);
  if (packed != NULL)
    size = ZSTD_compress (packed, raw_size, raw, raw_size, COMPRESSION_LEVEL);
  envelope->version = PROTOCOL_VERSION;
  if (packed == NULL || ZSTD_isError (size))
    {
      free (packed);
      envelope->batch = (ProtobufCBinaryData){ raw_size, raw };
      return 0;
    }
  free (raw);
  envelope->raw_size = (uint32_t)raw_size;
  envelope->batch = (ProtobufCBinaryData){ size, packed };
  return 0;
}

static void
fill_batch (Kq__Peer__Batch *batch, const struct kq_peer_outgoing *outgoing)
{
  batch->from = (char *)outgoing->sender->host.text;
  batch->zone = (char *)outgoing->sender->zone.text;
  batch->incarnation = outgoing->sender->incarnation;
  batch->address = (char *)outgoing->sender->address;
  batch->messages = outgoing->messages;
  batch->n_messages = outgoing->count;
  batch->hosts_wanted = outgoing->hosts_wanted;
  if (outgoing->hosts == NULL)
    return;
  batch->hosts.data = (uint8_t *)outgoing->hosts;
  batch->hosts.len = strlen (outgoing->hosts);
}

int
kq_peer_encode (const struct kq_peer_outgoing *outgoing, uint8_t **frame,
                size_t *size, size_t *raw_size)
{
  Kq__Peer__Batch batch = KQ__PEER__BATCH__INIT;
  Kq__Peer__Envelope envelope = KQ__PEER__ENVELOPE__INIT;
  int err;

  fill_batch (&batch, outgoing);
  *raw_size = kq__peer__batch__get_packed_size (&batch);
  if (*raw_size > KQ_PEER_MAX_BATCH)
    return KQ_ETOOBIG;
  err = fill_envelope (&envelope, &batch, outgoing->compress);
  if (err != 0)
    return err;
  *size = kq__peer__envelope__get_packed_size (&envelope);
  *frame = malloc (*size);
  if (*frame != NULL)
    kq__peer__envelope__pack (&envelope, *frame);
  free (envelope.batch.data);
  if (*frame == NULL)
    return KQ_ENOMEM;
  if (*size <= KQ_PEER_MAX_FRAME)
    return 0;
  free (*frame);
  return KQ_ETOOBIG;
}

static int
read_shards (const Kq__Peer__Message *wire, struct kq_peer_message *message)
{
  struct kq_shard_state *shards;

  if (wire->n_shards > KQ_PEER_MAX_SHARDS)
    return KQ_ETOOBIG;
  shards = calloc (wire->n_shards + 1, sizeof *shards);
  if (shards == NULL)
    return KQ_ENOMEM;
  message->shards = shards;
  message->shard_count = wire->n_shards;
  for (size_t i = 0; i < wire->n_shards; i++)
    {
      const Kq__Peer__Shard *shard = wire->shards[i];

      if (kq_name_set (&shards[i].name, shard->name) != 0
          || shard->epoch > INT64_MAX || shard->cpu_milli < 0
          || shard->memory_mb < 0 || shard->accelerators < 0)
        return KQ_ESYNTAX;
      shards[i].epoch = shard->epoch;
      shards[i].largest
          = (struct kq_resources){ shard->cpu_milli, shard->memory_mb,
                                   shard->accelerators };
    }
  return 0;
}

static int
read_record (const Kq__Peer__Message *wire, struct kq_peer_message *message)
{
  struct kq_record *record = NULL;
  json_t *object = json_loadb ((const char *)wire->record.data,
                               wire->record.len, 0, NULL);
  int err = kq_codec_record_read (object, &record);

  json_decref (object);
  if (err == 0 && kq_name_set (&record->id, wire->record_id) != 0)
    err = KQ_ESYNTAX;
  if (err != 0)
    {
      free (record);
      return err;
    }
  message->record = record;
  return 0;
}

static int
read_message (const struct kq_peer_sender *sender,
              const Kq__Peer__Message *wire, struct kq_peer_message *message)
{
  message->kind = (enum kq_peer_kind) (wire->kind - 1);
  message->from = sender->host;
  message->zone = sender->zone;
  message->incarnation = sender->incarnation;
  message->view = wire->view;
  message->offset = wire->offset;
  message->revision = wire->revision;
  if (wire->offset < 0 || wire->revision < 0)
    return KQ_ESYNTAX;
  if (message->kind == KQ_PEER_RECORD)
    return read_record (wire, message);
  return read_shards (wire, message);
}

static int
read_sender (const Kq__Peer__Batch *wire, struct kq_peer_sender *sender)
{
  if (kq_name_set (&sender->host, wire->from) != 0
      || kq_name_set (&sender->zone, wire->zone) != 0
      || strlen (wire->address) >= sizeof sender->address)
    return KQ_ESYNTAX;
  sender->incarnation = wire->incarnation;
  snprintf (sender->address, sizeof sender->address, "%s", wire->address);
  return 0;
}

static int
read_hosts (const Kq__Peer__Batch *wire, struct kq_peer_batch *batch)
{
  size_t skipped;
  json_t *object;
  int err;

  batch->hosts_wanted = wire->hosts_wanted;
  if (wire->hosts.len == 0)
    return 0;
  object
      = json_loadb ((const char *)wire->hosts.data, wire->hosts.len, 0, NULL);
  err = kq_codec_hosts_read (object, &batch->hosts, &batch->host_count,
                             &skipped);
  json_decref (object);
  return err;
}

static int
read_batch (const Kq__Peer__Batch *wire, struct kq_peer_batch *batch)
{
  int err = read_sender (wire, &batch->sender);

  if (err == 0)
    err = read_hosts (wire, batch);
  if (err != 0)
    return err;
  if (wire->n_messages > KQ_PEER_MAX_MESSAGES)
    return KQ_ETOOBIG;
  batch->messages = calloc (wire->n_messages + 1, sizeof *batch->messages);
  if (batch->messages == NULL)
    return KQ_ENOMEM;
  for (size_t i = 0; err == 0 && i < wire->n_messages; i++)
    {
      uint32_t kind = wire->messages[i]->kind;

      if (kind < KQ_PEER_HEARTBEAT + 1 || kind > KQ_PEER_LEAVE + 1)
        continue;
      err = read_message (&batch->sender, wire->messages[i],
                          &batch->messages[batch->count]);
      batch->count++;
    }
  return err;
}

static int
unpack_batch (const Kq__Peer__Envelope *envelope, Kq__Peer__Batch **batch)
{
  size_t size = envelope->raw_size;
  uint8_t *raw;

  if (size == 0)
    {
      *batch = kq__peer__batch__unpack (NULL, envelope->batch.len,
                                        envelope->batch.data);
      return *batch != NULL ? 0 : KQ_ESYNTAX;
    }
  if (size > KQ_PEER_MAX_BATCH)
    return KQ_ETOOBIG;
  raw = malloc (size);
  if (raw == NULL)
    return KQ_ENOMEM;
  if (ZSTD_decompress (raw, size, envelope->batch.data, envelope->batch.len)
      == size)
    *batch = kq__peer__batch__unpack (NULL, size, raw);
  free (raw);
  return *batch != NULL ? 0 : KQ_ESYNTAX;
}

int
kq_peer_decode (const uint8_t *frame, size_t size,
                struct kq_peer_batch **batch)
{
  Kq__Peer__Envelope *envelope;
  Kq__Peer__Batch *wire = NULL;
  int err;

  *batch = NULL;
  if (size > KQ_PEER_MAX_FRAME)
    return KQ_ETOOBIG;
  envelope = kq__peer__envelope__unpack (NULL, size, frame);
  if (envelope == NULL)
    return KQ_ESYNTAX;
  err = envelope->version == PROTOCOL_VERSION ? unpack_batch (envelope, &wire)
                                              : KQ_EINVAL;
  kq__peer__envelope__free_unpacked (envelope, NULL);
  if (err != 0)
    return err;
  *batch = calloc (1, sizeof **batch);
  err = *batch == NULL ? KQ_ENOMEM : read_batch (wire, *batch);
  kq__peer__batch__free_unpacked (wire, NULL);
  if (err != 0)
    {
      kq_peer_batch_free (*batch);
      *batch = NULL;
    }
  return err;
}

void
kq_peer_batch_free (struct kq_peer_batch *batch)
{
  if (batch == NULL)
    return;
  for (size_t i = 0; i < batch->count; i++)
    {
      free ((void *)batch->messages[i].shards);
      free ((void *)batch->messages[i].record);
    }
  free (batch->messages);
  free (batch->hosts);
  free (batch);
}
