/** @file
 * Announces this host in the store, and reads the announcements of the other
 * hosts into a table.
 */
#ifndef KQ_NODE_DIRECTORY_H
#define KQ_NODE_DIRECTORY_H

#include <ev.h>

#include "platform/store.h"
#include "term/hosts.h"

struct kq_directory;

/** Creates a directory that keeps HOSTS current, and calls ON_CHANGED with ARG
 *  after it has read other hosts' announcements.
 *  @return NULL when out of memory.  */
struct kq_directory *kq_directory_create (struct ev_loop *loop,
                                          struct kq_store *store,
                                          struct kq_hosts *hosts,
                                          void (*on_changed) (void *arg),
                                          void *arg);
void kq_directory_destroy (struct kq_directory *directory);
void kq_directory_start (struct kq_directory *directory);

#endif
