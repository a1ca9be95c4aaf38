/** @file
 * The version of kumquatrack.
 */
#ifndef KQ_BASE_VERSION_H
#define KQ_BASE_VERSION_H

#define KQ_VERSION "0.1"

#endif
