/** @file
 * The platform's store: topics of records.  A response to a change may be
 * lost.
 */
#ifndef SI_STORE_H
#define SI_STORE_H

#include "t/standin/si-http.h"

/** Interval at which delayed responses are tried again. */
#define SI_RETRY_INTERVAL_SEC 0.02

/** How many of a thousand responses are lost. */
extern int64_t si_lose_permille;

/** Limit in bytes of a record with its key; larger ones are refused. */
extern uint32_t si_record_bytes;

/** Maximum number of records in a page of newest records. */
extern int si_page_records;

/** Returns the monotonic time in seconds. */
double si_now (void);

/** Sets the seed that decides which responses are lost. */
void si_seed_losses (unsigned seed);

/** Returns a random number from 0 to 999. */
int64_t si_draw_permille (void);

/** Returns whether the next response is lost. */
bool si_loses_response (void);

/** Sends the response, or withholds it with a probability of
 *  si_lose_permille.  */
void si_respond_or_lose (struct si_request *request, unsigned status,
                         json_t *body);

/* Calls to the store. */
void si_store_append (struct si_request *request);
void si_store_read (struct si_request *request);
void si_store_newest (struct si_request *request);

/** Appends a keyed record, as the operator or a worker does.  Without a VALUE,
 *  the key is dropped.  */
void si_store_put (const char *topic, const char *key, json_t *value);

#endif
