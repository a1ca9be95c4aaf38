/** @file
 * Encodes and decodes the messages between entry hosts as ZeroMQ frames.
 *
 * A frame is an envelope that holds one batch of protobuf messages.  The
 * batch is compressed with zstd if the sender requests it and the compressed
 * form is shorter.
 */
#ifndef KQ_PEER_CODEC_H
#define KQ_PEER_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "core/event.h"
#include "peer/peer.pb-c.h"

/** Largest frame, and largest batch before compression, in bytes. */
#define KQ_PEER_MAX_FRAME 4194304
#define KQ_PEER_MAX_BATCH 8388608

/** Largest number of messages in a batch and of shards in a message. */
#define KQ_PEER_MAX_MESSAGES 1024
#define KQ_PEER_MAX_SHARDS 1024

/** The sender of a batch. */
struct kq_peer_sender
{
  struct kq_name host;
  struct kq_name zone;
  uint64_t incarnation;
  char address[64]; /**< at which it receives messages, "ADDR:PORT" */
};

/** A decoded batch. */
struct kq_peer_batch
{
  struct kq_peer_sender sender;
  struct kq_peer_message *messages;
  size_t count;
  bool hosts_wanted;           /**< the sender requests a host list */
  struct kq_host_entry *hosts; /**< the sender's host list, or NULL */
  size_t host_count;
};

/** A batch to encode. */
struct kq_peer_outgoing
{
  const struct kq_peer_sender *sender;
  Kq__Peer__Message **messages;
  size_t count;
  bool hosts_wanted;
  const char *hosts; /**< host list as JSON text, or NULL */
  bool compress;
};

/** Converts MESSAGE to its protobuf form.  The caller frees the result with
 *  kq__peer__message__free_unpacked().
 *  @return NULL when out of memory.  */
Kq__Peer__Message *
kq_peer_message_to_wire (const struct kq_peer_message *message);

/** Encodes OUTGOING into one frame.  The caller frees *FRAME with free().
 *  @param raw_size set to the size of the batch in bytes before compression.
 *  @return 0, KQ_ETOOBIG or KQ_ENOMEM.  */
int kq_peer_encode (const struct kq_peer_outgoing *outgoing, uint8_t **frame,
                    size_t *size, size_t *raw_size);

/** Decodes a frame.  Messages of an unknown kind are skipped.
 *  @return 0 with *BATCH set, KQ_ESYNTAX when the frame is malformed,
 *  KQ_EINVAL when it has another protocol version, KQ_ETOOBIG or
 *  KQ_ENOMEM.  */
int kq_peer_decode (const uint8_t *frame, size_t size,
                    struct kq_peer_batch **batch);

void kq_peer_batch_free (struct kq_peer_batch *batch);

#endif
