/** @file
 * Helpers of the fuzz targets.  Each target parses one kind of external input;
 * a crash, a leak or a failed assertion is a finding.
 */
#ifndef KQ_T_FUZZ_FUZZ_H
#define KQ_T_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* libFuzzer prescribes this name. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/** Returns a copy of DATA as a string; the caller frees it. */
static inline char *
fuzz_copy_string (const uint8_t *data, size_t size)
{
  char *text = malloc (size + 1);

  if (text == NULL)
    abort ();
  memcpy (text, data, size);
  text[size] = '\0';
  return text;
}

/** Aborts, which is a finding, unless CONDITION is true. */
static inline void
fuzz_assert (int condition)
{
  if (!condition)
    abort ();
}

#endif
