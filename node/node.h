/** @file
 * An entry host on the platform: everything in one thread and one loop.
 */
#ifndef KQ_NODE_NODE_H
#define KQ_NODE_NODE_H

/** The variable with the path of the platform's settings file. */
#define KQ_NODE_FILE_VARIABLE "KUMQUATRACK_NODE_FILE"

/** Runs the host whose settings are in the file at PATH and in the flags until
 *  a planned stop ends.
 *  @return the exit status of the process.  */
int kq_node_main (const char *path, int argc, char **argv);

#endif
