/* Passes each input to the parser of hop messages, once as a message with a
   sender, such as a request, and once without, as a reply.  The front has no
   sockets.  */
#include "daemon/front_impl.h"
#include "t/fuzz/fuzz.h"

static struct kq_front *
create_front (void)
{
  static struct kq_view_service service
      = { .name = { "price" }, .deadline_ms = 100 };
  static struct kq_view_worker worker = { .name = { "w1" },
                                          .owned = true,
                                          .owned_until = INT64_MAX,
                                          .slots = 1,
                                          .connections = 1 };
  struct kq_view view = { .revision = 1,
                          .worker_count = 1,
                          .service_count = 1,
                          .workers = &worker,
                          .services = &service };
  struct kq_request_settings settings = { .queue_limit = 0 };
  struct kq_request_event event = { .kind = KQ_REQ_EV_VIEW, .u.view = &view };
  struct kq_front *front = calloc (1, sizeof *front);

  fuzz_assert (front != NULL);
  kq_request_settings_default (&settings);
  front->router = kq_request_create (&settings);
  front->effects = kq_request_effects_create ();
  front->random[0] = 1;
  kq_front_process_event (front, &event);
  return front;
}

static void
free_front (struct kq_front *front)
{
  fuzz_assert (front->calls == NULL);
  fuzz_assert (front->open_calls == 0);
  while (front->idle_handles != NULL)
    {
      struct kq_front_idle_handle *idle = front->idle_handles;

      front->idle_handles = idle->next;
      curl_easy_cleanup (idle->easy);
      free (idle);
    }
  kq_request_effects_destroy (front->effects);
  kq_request_destroy (front->router);
  free (front);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) /* NOLINT */
{
  struct kq_front_origin origin = { .routing_id_size = 4 };
  struct kq_front *front = create_front ();
  char *copy = fuzz_copy_string (data, size);

  /* Without a multi handle, no endpoint can be reached, so each request ends
     at once.  */
  kq_front_message_handle (front, &origin, copy, size);
  kq_front_message_handle (front, NULL, copy, size);
  free (copy);
  free_front (front);
  return 0;
}
