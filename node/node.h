/** @file
 * Entry host on the platform: all of its modules run in one thread with one
 * event loop.
 */
#ifndef KQ_NODE_NODE_H
#define KQ_NODE_NODE_H

/** Environment variable with the path of the platform's settings file. */
#define KQ_NODE_FILE_VARIABLE "KUMQUATRACK_NODE_FILE"

/** Runs the host until a planned stop ends. Its settings are in the file at
 *  PATH and in the flags.
 *  @return the exit status of the process.  */
int kq_node_main (const char *path, int argc, char **argv);

#endif
