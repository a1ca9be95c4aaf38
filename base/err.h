/** @file
 * Error numbers of kumquatrack.
 *
 * Every function that can fail returns 0 or one of these negative numbers.
 * Each module has its own range.  A number is never reused for another
 * failure, because log lines and responses contain it.
 */
#ifndef KQ_BASE_ERR_H
#define KQ_BASE_ERR_H

/** The list of errors: name, number and description. */
#define KQ_ERR_LIST(X)                                                        \
  /* common */                                                                \
  X (KQ_ENOMEM, -1, "out of memory")                                          \
  X (KQ_EINVAL, -2, "invalid argument")                                       \
  X (KQ_ENOENT, -3, "no such item")                                           \
  X (KQ_EEXIST, -4, "item exists already")                                    \
  X (KQ_ETOOBIG, -5, "input exceeds its size limit")                          \
  X (KQ_ESYNTAX, -6, "input is malformed")                                    \
  X (KQ_EIO, -7, "input or output failed")                                    \
  X (KQ_ETIMEDOUT, -8, "deadline passed")                                     \
  X (KQ_ECLOSED, -9, "the other end closed the connection")                   \
  X (KQ_ESTOPPING, -10, "the daemon is stopping")                             \
  X (KQ_ERANGE, -11, "value is out of its range")                             \
  /* lease */                                                                 \
  X (KQ_ELEASE_HELD, -100, "another holder has the lease")                    \
  X (KQ_ELEASE_TERM, -101, "the term is not the current one")                 \
  X (KQ_ELEASE_LAPSED, -102, "the lease has lapsed")                          \
  /* worker */                                                                \
  X (KQ_EWORKER_FULL, -200, "the worker has no capacity for the task")        \
  X (KQ_EWORKER_SILENT, -201, "the worker does not answer")                   \
  X (KQ_EWORKER_LEAVING, -202, "the worker is leaving")                       \
  X (KQ_EWORKER_QUARANTINED, -203, "the worker is quarantined")               \
  /* job */                                                                   \
  X (KQ_EJOB_UNKNOWN, -300, "no such job")                                    \
  X (KQ_EJOB_NEVER_FITS, -301, "no worker can ever carry the task")           \
  X (KQ_EJOB_QUOTA, -302, "the team's quota is used up")                      \
  X (KQ_EJOB_CANCELLED, -303, "the job is cancelled")                         \
  X (KQ_EJOB_FAILED, -304, "the task failed on several healthy workers")      \
  X (KQ_EJOB_ENDED, -305, "the job has ended")                                \
  X (KQ_EJOB_EXPIRED, -306, "the job ended too long ago to be kept")          \
  X (KQ_EJOB_UNREAD, -307, "the job is stored, but could not be read")        \
  /* config */                                                                \
  X (KQ_ECONFIG_CONFLICT, -400, "a newer revision is in force")               \
  X (KQ_ECONFIG_SCHEMA, -401, "the configuration breaks its schema")          \
  X (KQ_ECONFIG_NONE, -402, "no configuration is known yet")                  \
  /* platform */                                                              \
  X (KQ_ELOG_DOWN, -500, "the log does not answer")                           \
  X (KQ_ELOG_BUSY, -501, "the log refuses appends for now")                   \
  X (KQ_ELOG_RETENTION, -502, "the offset is older than the log keeps")       \
  X (KQ_ELOG_UNKNOWN, -503, "no answer; the log may have the record")         \
  /* request */                                                               \
  X (KQ_EREQ_NO_SERVICE, -600, "no such service")                             \
  X (KQ_EREQ_NO_ENDPOINT, -601, "no endpoint can take the request")           \
  X (KQ_EREQ_OVERLOAD, -602, "the request cannot be answered in time")        \
  X (KQ_EREQ_CUT, -603, "the endpoint cut its answer short")                  \
  X (KQ_EREQ_KEY_IN_USE, -604, "a request with this key is in progress")      \
  X (KQ_EREQ_KEY_REUSED, -605, "the key belongs to a different request")      \
  X (KQ_EREQ_ANSWER_GONE, -606, "the stored answer is no longer kept")        \
  X (KQ_EREQ_KEY_HOME, -607, "entry hosts differ about who decides the key")  \
  /* peer */                                                                  \
  X (KQ_EPEER_VIEW, -700, "the message belongs to an old view")               \
  X (KQ_EPEER_UNKNOWN, -701, "the peer is not a member")                      \
  /* query */                                                                 \
  X (KQ_EQUERY_WORD, -800, "a word of the command is not understood")         \
  X (KQ_EQUERY_END, -801, "the command ends too early")                       \
  X (KQ_EQUERY_TWICE, -802, "the field is given twice")                       \
  X (KQ_EQUERY_NUMBER, -803, "a number is expected")                          \
  X (KQ_EQUERY_UNIT, -804, "the unit does not fit the number")                \
  X (KQ_EQUERY_FIELD, -805, "the table has no such field")                    \
  /* place */                                                                 \
  X (KQ_EPLACE_PROBE, -1000, "the first tasks of the job are being measured") \
  /* settings */                                                              \
  X (KQ_ESETTING, -900, "a setting is missing or wrong")

#define KQ_ERR_ENUM(name, number, text) name = (number),
enum kq_err
{
  KQ_OK = 0,
  KQ_ERR_LIST (KQ_ERR_ENUM)
};
#undef KQ_ERR_ENUM

/** Returns the symbolic name of ERR, such as "KQ_ENOMEM". */
const char *kq_err_name (int err);

/** Returns a description of ERR in English, without a capital letter and a
 *  full stop.  */
const char *kq_err_text (int err);

#endif
