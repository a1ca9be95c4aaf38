/** @file
 * Codec between the messages of entry hosts and ZeroMQ frames.
 *
 * A frame is an envelope with one batch of protobuf messages, compressed with
 * zstd where that is asked for and saves something.
 */
#ifndef KQ_PEER_CODEC_H
#define KQ_PEER_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "core/event.h"
#include "peer/peer.pb-c.h"

/** Longest frame in bytes, and longest batch before compression. */
#define KQ_PEER_MAX_FRAME 4194304
#define KQ_PEER_MAX_BATCH 8388608

/** Most messages of a batch, and most shards of a message. */
#define KQ_PEER_MAX_MESSAGES 1024
#define KQ_PEER_MAX_SHARDS 1024

/** The sender of a batch. */
struct kq_peer_sender
{
  struct kq_name host;
  struct kq_name zone;
  uint64_t incarnation;
  char address[64]; /**< where it takes messages, "ADDR:PORT" */
};

/** A batch that was read. */
struct kq_peer_batch
{
  struct kq_peer_sender sender;
  struct kq_peer_message *messages;
  size_t count;
  bool hosts_wanted;           /**< the sender has no host list */
  struct kq_host_entry *hosts; /**< the sender's host list, or NULL */
  size_t host_count;
};

/** A batch to be sent. */
struct kq_peer_outgoing
{
  const struct kq_peer_sender *sender;
  Kq__Peer__Message **messages;
  size_t count;
  bool hosts_wanted;
  const char *hosts; /**< host list as JSON text, or NULL */
  bool compress;
};

/** Returns MESSAGE in its wire form, which the caller frees with
 *  kq__peer__message__free_unpacked(); NULL when out of memory.  */
Kq__Peer__Message *kq_peer_wire (const struct kq_peer_message *message);

/** Encodes OUTGOING into one frame.  The caller frees *FRAME with free().
 *  @param raw_size set to the bytes before compression.
 *  @return 0, KQ_ETOOBIG or KQ_ENOMEM.  */
int kq_peer_encode (const struct kq_peer_outgoing *outgoing, uint8_t **frame,
                    size_t *size, size_t *raw_size);

/** Decodes a frame.  Messages of a kind that is not known are left out.
 *  @return 0 with *BATCH set, KQ_ESYNTAX malformed, KQ_EINVAL another version
 *  of the protocol, KQ_ETOOBIG or KQ_ENOMEM.  */
int kq_peer_decode (const uint8_t *frame, size_t size,
                    struct kq_peer_batch **batch);

void kq_peer_batch_free (struct kq_peer_batch *batch);

#endif
