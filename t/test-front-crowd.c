/* Guards against bodies that are bounded for each caller but not in sum: the
   case of t/test-front.c with a crowd, as a program of its own.  */
#define KQ_TEST_FRONT_CROWD
#include "t/test-front.c" /* NOLINT(bugprone-suspicious-include) */
