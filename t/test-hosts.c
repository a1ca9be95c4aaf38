/* Table of the hosts that announce themselves in the store.  Guards against
   records that name nobody, hosts that are gone for good but stay in the
   table, and an order of the hosts on which they do not agree.  */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "t/kqtest.h"
#include "term/hosts.h"
#include "term/term.pb-c.h"

#define HOSTS 5

static struct kq_host
make_host (int i, double cores)
{
  struct kq_host host = { .cores = cores, .memory_mb = 160 };

  snprintf (host.name, sizeof host.name, "h%d", i);
  snprintf (host.address, sizeof host.address, "10.0.0.%d:7720", i + 1);
  snprintf (host.incarnation, sizeof host.incarnation, "life-%d", i);
  snprintf (host.zone, sizeof host.zone, "z%d", i % 2);
  return host;
}

static size_t
announce (struct kq_hosts *hosts, kq_usec now, uint8_t *bytes)
{
  size_t size = kq_hosts_next_announcement (hosts, now, bytes);

  if (size > 0)
    kq_hosts_announced (hosts, now, true);
  return size;
}

/* Applies what the host I announces at NOW. */
static void
hear (struct kq_hosts *hosts, kq_usec now, int i, double cores)
{
  struct kq_host self = make_host (i, cores);
  struct kq_hosts *other = kq_hosts_create (&self);
  uint8_t bytes[KQ_HOSTS_MAX_BYTES];
  size_t size;

  kq_hosts_next_announcement (other, now, bytes);
  size = kq_hosts_next_announcement (other, now + KQ_USEC_PER_SEC, bytes);
  CU_ASSERT (size > 0);
  kq_hosts_apply (hosts, now, self.name, bytes, size);
  kq_hosts_destroy (other);
}

static void
test_hosts_are_ranked_alike (void)
{
  static const double cores[HOSTS] = { 0.12, 0.5, 0.5, 0.12, 0.25 };
  bool taken[HOSTS] = { false };

  for (int i = 0; i < HOSTS; i++)
    {
      struct kq_host self = make_host (i, cores[i]);
      struct kq_hosts *hosts = kq_hosts_create (&self);
      int rank;

      for (int j = 0; j < HOSTS; j++)
        if (j != i)
          hear (hosts, 1, j, cores[j]);
      CU_ASSERT_EQUAL (kq_hosts_count (hosts), HOSTS);
      CU_ASSERT_EQUAL (kq_hosts_max_cores (hosts), 0.5);
      rank = kq_hosts_rank (hosts);
      CU_ASSERT_FATAL (rank >= 0 && rank < HOSTS);
      CU_ASSERT_FALSE (taken[rank]);
      taken[rank] = true;
      if (cores[i] == 0.5)
        CU_ASSERT (rank < 2);
      if (cores[i] == 0.12)
        CU_ASSERT (rank > 2);
      kq_hosts_destroy (hosts);
    }
}

static void
test_silent_hosts_expire (void)
{
  struct kq_host self = make_host (0, 1);
  struct kq_hosts *hosts = kq_hosts_create (&self);
  kq_usec now = KQ_USEC_PER_SEC;

  hear (hosts, now, 1, 1);
  hear (hosts, now, 2, 1);
  now += 40 * KQ_USEC_PER_SEC;
  hear (hosts, now, 1, 1);
  now += 40 * KQ_USEC_PER_SEC;
  kq_hosts_expire (hosts, now);
  CU_ASSERT_EQUAL (kq_hosts_count (hosts), 2);
  CU_ASSERT_STRING_EQUAL (kq_hosts_peer (hosts, 7), "10.0.0.2:7720");
  /* A host that stops as planned removes its record. */
  kq_hosts_apply (hosts, now, "h1", NULL, 0);
  CU_ASSERT_EQUAL (kq_hosts_count (hosts), 1);
  CU_ASSERT_PTR_NULL (kq_hosts_peer (hosts, 0));
  kq_hosts_destroy (hosts);
}

/* Applies the record of a host at ADDRESS with CORES. */
static void
hear_from (struct kq_hosts *hosts, const char *address, double cores)
{
  KqTerm__HostRecord record = KQ_TERM__HOST_RECORD__INIT;
  uint8_t bytes[KQ_HOSTS_MAX_BYTES];

  record.address = (char *)address;
  record.cores = cores;
  kq_term__host_record__pack (&record, bytes);
  kq_hosts_apply (hosts, 1, "h1", bytes,
                  kq_term__host_record__get_packed_size (&record));
}

static void
test_malformed_records_name_nobody (void)
{
  struct kq_host self = make_host (0, 1);
  struct kq_hosts *hosts = kq_hosts_create (&self);
  static const uint8_t garbage[] = { 0xff, 0xff, 0xff, 0x7f, 0x01 };
  static const uint8_t no_address[] = { 0x2a, 0x00 };
  char long_name[200];

  memset (long_name, 'x', sizeof long_name - 1);
  long_name[sizeof long_name - 1] = '\0';
  kq_hosts_apply (hosts, 1, "h1", garbage, sizeof garbage);
  kq_hosts_apply (hosts, 1, "h1", no_address, sizeof no_address);
  kq_hosts_apply (hosts, 1, long_name, no_address, sizeof no_address);
  kq_hosts_apply (hosts, 1, "", no_address, sizeof no_address);
  kq_hosts_apply (hosts, 1, "h0", NULL, 0);
  hear_from (hosts, "10.0.0.2:65536", 1);
  hear_from (hosts, "host:1", 1);
  hear_from (hosts, "10.0.0.2:1", INFINITY);
  hear_from (hosts, "10.0.0.2:1", NAN);
  CU_ASSERT_EQUAL (kq_hosts_count (hosts), 1);
  kq_hosts_destroy (hosts);
}

static void
test_announcements_are_repeated (void)
{
  struct kq_host self = make_host (0, 1);
  struct kq_hosts *hosts = kq_hosts_create (&self);
  uint8_t bytes[KQ_HOSTS_MAX_BYTES];
  kq_usec now = KQ_USEC_PER_SEC;
  int count = 0;

  /* The first attempt fails: the next one follows soon. */
  while (kq_hosts_next_announcement (hosts, now, bytes) == 0)
    now += 10 * KQ_USEC_PER_MSEC;
  CU_ASSERT (now < 2 * KQ_USEC_PER_SEC);
  kq_hosts_announced (hosts, now, false);
  for (int i = 0; i < 600; i++, now += 100 * KQ_USEC_PER_MSEC)
    count += announce (hosts, now, bytes) > 0;
  CU_ASSERT (count == 3 || count == 4);
  kq_hosts_destroy (hosts);
}

static const struct kq_test tests[] = {
  { "hosts are ranked alike", test_hosts_are_ranked_alike },
  { "silent hosts expire", test_silent_hosts_expire },
  { "malformed records name nobody", test_malformed_records_name_nobody },
  { "announcements are repeated", test_announcements_are_repeated },
};

KQ_TEST_MAIN ("test-hosts", tests)
