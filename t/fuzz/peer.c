/* Fuzzes the decoder of frames between entry hosts. */
#include "peer/codec.h"
#include "t/fuzz/fuzz.h"

static void
decode (const uint8_t *frame, size_t size)
{
  struct kq_peer_batch *batch;

  if (kq_peer_decode (frame, size, &batch) == 0)
    for (size_t i = 0; i < batch->count; i++)
      {
        fuzz_assert (batch->messages[i].kind <= KQ_PEER_LEAVE);
        fuzz_assert (batch->messages[i].offset >= 0);
        fuzz_assert (batch->messages[i].kind != KQ_PEER_RECORD
                     || batch->messages[i].record != NULL);
      }
  kq_peer_batch_free (batch);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  Kq__Peer__Envelope envelope = KQ__PEER__ENVELOPE__INIT;
  uint8_t *frame;

  decode (data, size);
  /* Also decode the bytes as the batch of a valid envelope. */
  envelope.version = 1;
  envelope.batch.data = (uint8_t *)data;
  envelope.batch.len = size;
  frame = malloc (kq__peer__envelope__get_packed_size (&envelope));
  fuzz_assert (frame != NULL);
  decode (frame, kq__peer__envelope__pack (&envelope, frame));
  free (frame);
  return 0;
}
