/** @file
 * What the fuzz targets share.  Each target reads one kind of input from
 * outside; a crash, a leak or a failed assertion is a finding.
 */
#ifndef KQ_T_FUZZ_FUZZ_H
#define KQ_T_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* The name is libFuzzer's. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/** Returns DATA as a new string. */
static inline char *
fuzz_text (const uint8_t *data, size_t size)
{
  char *text = malloc (size + 1);

  if (text == NULL)
    abort ();
  memcpy (text, data, size);
  text[size] = '\0';
  return text;
}

/** Ends the run with a finding unless CONDITION holds. */
static inline void
fuzz_assert (int condition)
{
  if (!condition)
    abort ();
}

#endif
