/** @file
 * Shared by the parts of the stand-ins.
 */
#ifndef REVIEW_INTERNAL_H
#define REVIEW_INTERNAL_H

#include <microhttpd.h>

#include "review/world.h"

#define W_HEARTBEAT_MS 1100
#define W_HOLD_MAX_MS 10000
#define W_CHECKPOINT_S 2
#define W_GANG_MS 3000
#define W_ROUTE_HOST "orders.example"

/** A request with its whole body. */
struct w_request
{
  struct MHD_Connection *connection;
  const char *method;
  char path[256];
  char *body;
  size_t size;
  void *context;
};

/** Handles a request, with the lock held, and responds. */
typedef enum MHD_Result w_handler (struct w_request *request);

struct MHD_Daemon *world_serve (const char *address, int port,
                                w_handler *handler, void *context);
enum MHD_Result world_respond (struct w_request *request, unsigned status,
                               const void *body, size_t size);
enum MHD_Result world_respond_json (struct w_request *request, unsigned status,
                                    json_t *body);
int64_t world_argument (struct w_request *request, const char *name,
                        int64_t fallback);

/** Waits for a change, SECONDS at most; the lock is held before and after. */
void world_wait (double seconds);
void world_changed (void);
int world_free_port (const char *address);
/** Writes loopback address number LAST of this process. */
void world_address (char *text, size_t size, int last);

void world_start_store (void);
json_t *world_store_settings (void);
void world_store_put (const char *topic, const char *key, json_t *value);
void world_last_writer (char *address, size_t size);

void world_start_ticks (void);

#endif
