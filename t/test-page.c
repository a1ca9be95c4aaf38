/* Pages of the newest records of each key.  Guards against one key of another
 * writer that hides all other records: one with zero bytes or bytes that are
 * no UTF-8, in each way in which a store may write it, also where a page ends
 * with it and the next one is asked for.
 */
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "platform/page.h"
#include "t/kqtest.h"

#define MAX_KEYS 40
#define MAX_TEXT 65536
#define PAGE_RECORDS 3
#define SEEDS 2000

/* How a store writes bytes that are no UTF-8. */
enum style
{
  STYLE_REPLACED, /* as U+FFFD */
  STYLE_RAW,      /* as they are */
  STYLE_ESCAPED,  /* as an escape of half a surrogate pair */
  STYLE_COUNT
};

struct key
{
  unsigned char bytes[8];
  size_t size;
  bool seen;
};

struct table
{
  struct key keys[MAX_KEYS]; /* in the order of their bytes */
  size_t count;
};

static int
compare_bytes (const void *a, size_t a_size, const void *b, size_t b_size)
{
  int order = memcmp (a, b, a_size < b_size ? a_size : b_size);

  return order != 0 ? order : (a_size > b_size) - (a_size < b_size);
}

static int
compare_keys (const void *a, const void *b)
{
  const struct key *first = a;
  const struct key *second = b;

  return compare_bytes (first->bytes, first->size, second->bytes,
                        second->size);
}

/* Whether KEY names something: it has only printable ASCII characters. */
static bool
is_sound (const struct key *key)
{
  for (size_t i = 0; i < key->size; i++)
    if (key->bytes[i] < 0x20 || key->bytes[i] >= 0x7f)
      return false;
  return key->size > 0;
}

/* Writes KEY as a JSON string the way STYLE says; returns the length. */
static size_t
write_key (char *text, const struct key *key, enum style style)
{
  json_t *whole = json_stringn ((const char *)key->bytes, key->size);
  size_t length = 0;

  text[length++] = '"';
  for (size_t i = 0; i < key->size; i++)
    {
      unsigned char byte = key->bytes[i];

      if (byte < 0x20)
        length += (size_t)sprintf (text + length, "\\u%04x", byte);
      else if (byte < 0x80 || whole != NULL || style == STYLE_RAW)
        text[length++] = (char)byte;
      else if (style == STYLE_REPLACED)
        length += (size_t)sprintf (text + length, "\xEF\xBF\xBD");
      else
        length += (size_t)sprintf (text + length, "\\udc%02x", byte);
    }
  text[length++] = '"';
  json_decref (whole);
  return length;
}

/* Writes the page of TABLE that follows CURSOR; returns the length. */
static size_t
write_page (char *text, const struct table *table,
            const struct kq_store_cursor *cursor, enum style style)
{
  size_t length = (size_t)sprintf (text, "{\"items\":[");
  size_t written = 0;
  size_t i = 0;

  while (i < table->count && cursor->is_set
         && compare_bytes (table->keys[i].bytes, table->keys[i].size,
                           cursor->key, cursor->size)
                <= 0)
    i++;
  for (; i < table->count && written < PAGE_RECORDS; i++, written++)
    {
      length += (size_t)sprintf (text + length,
                                 "%s{\"key\":", written > 0 ? "," : "");
      length += write_key (text + length, &table->keys[i], style);
      length += (size_t)sprintf (text + length,
                                 ",\"value\":\"eA==\",\"offset\":%zu}", i);
    }
  return length
         + (size_t)sprintf (text + length, "],\"has_more\":%s,\"end\":%zu}",
                            i < table->count ? "true" : "false", table->count);
}

/* Marks the keys of TABLE that RESULT has, and checks the values. */
static void
note_seen (struct table *table, const struct kq_store_read_result *result)
{
  for (size_t i = 0; i < result->count; i++)
    {
      const struct kq_store_row *row = &result->rows[i];

      CU_ASSERT_EQUAL (row->size, 1);
      for (size_t j = 0; j < table->count; j++)
        if (compare_bytes (row->key, row->key_size, table->keys[j].bytes,
                           table->keys[j].size)
            == 0)
          table->keys[j].seen = true;
    }
}

/* Reads TABLE page by page.  Returns whether the walk has ended and every
   sound key has come out. */
static bool
walk (struct table *table, enum style style)
{
  static char text[MAX_TEXT];
  struct kq_store_read_result result = { .more = true };

  for (size_t pages = 0; result.more && pages <= table->count; pages++)
    {
      struct kq_store_cursor after = result.next;
      struct kq_page *page;
      const char *reason;
      size_t size = write_page (text, table, &after, style);

      if (kq_page_read (text, size, &after, &page, &result, &reason) != 0)
        return false;
      note_seen (table, &result);
      kq_page_destroy (page);
    }
  for (size_t i = 0; i < table->count; i++)
    if (is_sound (&table->keys[i]) && !table->keys[i].seen)
      return false;
  return !result.more;
}

static void
add_key (struct table *table, const void *bytes, size_t size)
{
  struct key *key = &table->keys[table->count++];

  memcpy (key->bytes, bytes, size);
  key->size = size;
}

static void
sort_keys (struct table *table)
{
  qsort (table->keys, table->count, sizeof table->keys[0], compare_keys);
}

/* A key with zero bytes hides no other and is not taken for what comes before
   the first of them. */
static void
test_zero_bytes (void)
{
  static const char text[]
      = "{\"items\":[{\"key\":\"w1\",\"value\":\"eA==\",\"offset\":1},"
        "{\"key\":\"w1\\u0000\\u0000\",\"value\":\"eQ==\",\"offset\":2},"
        "{\"key\":\"w2\",\"value\":\"eg==\",\"offset\":3}],"
        "\"has_more\":false,\"end\":4}";
  struct kq_store_cursor first = { .is_set = false };
  struct kq_store_read_result result = { .err = 0 };
  struct kq_page *page;
  const char *reason;
  char key[8];

  CU_ASSERT_EQUAL_FATAL (
      kq_page_read (text, sizeof text - 1, &first, &page, &result, &reason),
      0);
  CU_ASSERT_EQUAL_FATAL (result.count, 3);
  CU_ASSERT_TRUE (kq_store_row_key (&result.rows[0], key, sizeof key));
  CU_ASSERT_STRING_EQUAL (key, "w1");
  CU_ASSERT_EQUAL (result.rows[1].key_size, 4);
  CU_ASSERT_FALSE (kq_store_row_key (&result.rows[1], key, sizeof key));
  CU_ASSERT_STRING_EQUAL (key, "");
  CU_ASSERT_TRUE (kq_store_row_key (&result.rows[2], key, sizeof key));
  CU_ASSERT_STRING_EQUAL (key, "w2");
  kq_page_destroy (page);
}

/* Many odd keys in a row, so that whole pages have no other. */
static void
test_odd_keys_in_a_row (void)
{
  for (int style = 0; style < STYLE_COUNT; style++)
    {
      struct table table = { .count = 0 };

      add_key (&table, "w1", 2);
      for (int byte = 0x80; byte < 0x80 + MAX_KEYS - 4; byte++)
        {
          unsigned char odd[] = { 'w', '1', (unsigned char)byte };

          add_key (&table, odd, sizeof odd);
        }
      add_key (&table, "w2", 2);
      add_key (&table, "", 0);
      add_key (&table, "\0", 1);
      sort_keys (&table);
      CU_ASSERT_TRUE (walk (&table, (enum style)style));
    }
}

static void
draw_table (gsl_rng *rng, struct table *table)
{
  static const unsigned char bytes[]
      = { 'a', 'b', 'c', 0, 1, 0x7f, 0x80, 0xC3, 0xA9, 0xED, 0xEF, 0xFF };

  table->count = 0;
  while (table->count < MAX_KEYS)
    {
      struct key key = { .size = gsl_rng_uniform_int (rng, 5) };
      bool is_known = false;

      for (size_t i = 0; i < key.size; i++)
        key.bytes[i] = bytes[gsl_rng_uniform_int (
            rng, gsl_rng_uniform (rng) < 0.5 ? 3 : sizeof bytes)];
      for (size_t i = 0; i < table->count; i++)
        is_known = is_known || compare_keys (&key, &table->keys[i]) == 0;
      if (!is_known)
        table->keys[table->count++] = key;
    }
  sort_keys (table);
}

/* Keys of random bytes, at which pages end at random. */
static void
test_drawn_keys (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  for (unsigned long seed = 1; seed <= SEEDS; seed++)
    {
      struct table table = { .count = 0 };
      enum style style = (enum style) (seed % STYLE_COUNT);

      gsl_rng_set (rng, seed);
      draw_table (rng, &table);
      if (!walk (&table, style))
        {
          printf ("seed %lu: a sound key is missing, or the walk does not "
                  "end\n",
                  seed);
          CU_FAIL ("see above");
        }
    }
  gsl_rng_free (rng);
}

static int
read_text (const char *text, const struct kq_store_cursor *after)
{
  struct kq_store_read_result result = { .err = 0 };
  struct kq_page *page;
  const char *reason;
  int err = kq_page_read (text, strlen (text), after, &page, &result, &reason);

  kq_page_destroy (page);
  return err;
}

/* A page that tells no key from which to go on is not taken for the last one,
   nor read for ever. */
static void
test_no_way_on (void)
{
  struct kq_store_cursor first = { .is_set = false };
  struct kq_store_cursor after = { .is_set = true, .size = 1, .key = { 'a' } };

  CU_ASSERT_EQUAL (read_text ("{\"items\":[", &first), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (read_text ("[]", &first), KQ_ESYNTAX);
  CU_ASSERT_EQUAL (
      read_text ("{\"items\":[{\"value\":\"\"}],\"has_more\":true}", &first),
      KQ_ESYNTAX);
  CU_ASSERT_EQUAL (
      read_text ("{\"items\":[{\"key\":\"a\"}],\"has_more\":true}", &after),
      KQ_ESYNTAX);
  CU_ASSERT_EQUAL (
      read_text ("{\"items\":[{\"key\":\"b\"}],\"has_more\":true}", &after),
      0);
  CU_ASSERT_EQUAL (read_text ("{\"items\":[],\"has_more\":false}", &after), 0);
}

static const struct kq_test tests[] = {
  { "zero bytes in a key", test_zero_bytes },
  { "many odd keys in a row", test_odd_keys_in_a_row },
  { "drawn keys", test_drawn_keys },
  { "no way on from a page", test_no_way_on },
};

KQ_TEST_MAIN ("test-page", tests)
