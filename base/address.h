/** @file
 * Parsing of socket addresses written as "ADDR:PORT".
 */
#ifndef KQ_BASE_ADDRESS_H
#define KQ_BASE_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

/** Parses TEXT, "IPv4:PORT" or "[IPv6]:PORT" with a port from 1 to 65535, into
 *  ADDRESS.
 *  @return whether TEXT is a valid address.  */
bool kq_address_parse (const char *text, struct sockaddr_storage *address);

/** Returns whether ADDRESS is the wildcard address, which a socket can be
 * bound to, but peers can't connect to.  */
bool kq_address_is_any (const struct sockaddr_storage *address);

#endif
