/** @file
 * Settings of the daemon: flags, each with an environment variable.
 *
 * The variable of --lease-ttl-ms is KUMQUATRACK_LEASE_TTL_MS.  A flag
 * overrides its variable.
 */
#ifndef KQ_DAEMON_SETTINGS_H
#define KQ_DAEMON_SETTINGS_H

#include <stddef.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/name.h"
#include "log/log.h"

/** Size in bytes of "ADDR:PORT" with its terminating zero. */
#define KQ_ADDRESS_SIZE 64

/** Maximum number of bootstrap peers. */
#define KQ_SETTINGS_MAX_PEERS 64

struct kq_settings
{
  struct kq_name host;
  struct kq_name zone;
  struct kq_name region;
  char listen[KQ_ADDRESS_SIZE];       /**< HTTP for callers */
  char admin_listen[KQ_ADDRESS_SIZE]; /**< HTTP for operators */
  char peer_listen[KQ_ADDRESS_SIZE];  /**< control messages of other entry
                                           hosts */
  char hop_listen[KQ_ADDRESS_SIZE];   /**< requests of other entry hosts */
  char platform[KQ_ADDRESS_SIZE];     /**< log and host list */
  char peers[KQ_SETTINGS_MAX_PEERS][KQ_ADDRESS_SIZE];
  size_t peer_count;
  int lease_ttl_ms;
  int task_ttl_ms;
  int renew_ms;
  int drain_ms;
  enum kq_log_level log_level;
};

/** Why the settings are invalid. */
struct kq_settings_error
{
  char flag[32];     /**< such as "--lease-ttl-ms" */
  char value[96];    /**< as given, truncated; "" if missing */
  char allowed[128]; /**< allowed values */
};

/** What the program does after reading the settings. */
enum kq_settings_result
{
  KQ_SETTINGS_RUN,
  KQ_SETTINGS_EXIT /**< the text of --help or --version was printed */
};

/** Reads flags and environment into SETTINGS.  The text of --help and
 *  --version is printed on OUT.
 *  @return a kq_settings_result, or KQ_ESETTING with ERROR filled, or
 *  KQ_ENOMEM.  */
int kq_settings_read (int argc, char **argv, FILE *out,
                      struct kq_settings *settings,
                      struct kq_settings_error *error);

/** Prints ERROR as one line on FILE. */
void kq_settings_print_error (FILE *file,
                              const struct kq_settings_error *error);

#endif
