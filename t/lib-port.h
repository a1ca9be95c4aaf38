/** @file
 * A TCP port that a test opens in place of a worker.
 */
#ifndef KQ_T_LIB_PORT_H
#define KQ_T_LIB_PORT_H

#include <stdbool.h>
#include <stddef.h>

/** Opens a port of the loopback interface, which completes connections, and
 *  writes its address to TEXT of SIZE bytes.  Returns its descriptor.  */
int port_open (char *text, size_t size);

/** Returns whether a connection was made to the port FD, which is closed. */
bool port_was_called (int fd);

/** Returns whether the first connection to the port FD, which is closed, has
 *  carried a request.  */
bool port_got_request (int fd);

#endif
