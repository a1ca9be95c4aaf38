/** @file
 * Messages between entry hosts: a front asks the owner.
 *
 * Messages may be lost; who asks repeats.  Asking twice is harmless: an ID is
 * one job.
 */
#ifndef KQ_NODE_HOP_H
#define KQ_NODE_HOP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/hop.pb-c.h"

struct kq_hop;

/** What is asked for. */
enum kq_ask_verb
{
  KQ_ASK_SUBMIT = 1,
  KQ_ASK_STATE,
  KQ_ASK_CANCEL,
  KQ_ASK_PENDING
};

/** Where an answer goes: the asking socket's identity. */
struct kq_hop_sender
{
  uint8_t bytes[32];
  size_t size;
};

struct kq_hop_handler
{
  void *arg;
  void (*on_ask) (void *arg, const struct kq_hop_sender *sender,
                  const KqNode__Ask *ask);
  void (*on_tell) (void *arg, const KqNode__Tell *tell);
};

/** Binds ADDRESS ("ADDR:PORT").
 *  @return NULL with *ERR set to KQ_EIO or KQ_ENOMEM.  */
struct kq_hop *kq_hop_create (struct ev_loop *loop, const char *address,
                              const struct kq_hop_handler *handler, int *err);
void kq_hop_destroy (struct kq_hop *hop);

/** Sends ASK to the host at ADDRESS.
 *  @return 0, or KQ_EIO when it is not sent.  */
int kq_hop_ask (struct kq_hop *hop, const char *address,
                const KqNode__Ask *ask);

void kq_hop_tell (struct kq_hop *hop, const struct kq_hop_sender *sender,
                  const KqNode__Tell *tell);

#endif
