/** @file
 * Socket addresses from "ADDR:PORT".
 */
#ifndef KQ_BASE_ADDRESS_H
#define KQ_BASE_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

/** Reads "IPv4:PORT" or "[IPv6]:PORT", port 1 to 65535, into ADDRESS.
 *  @return whether TEXT is such an address.  */
bool kq_address_read (const char *text, struct sockaddr_storage *address);

/** Returns whether ADDRESS stands for all addresses of a host: it can be
 *  bound, but not connected to.  */
bool kq_address_is_any (const struct sockaddr_storage *address);

#endif
