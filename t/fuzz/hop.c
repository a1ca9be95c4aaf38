/* Messages between entry hosts about requests, read by a front without
   sockets: one without a route is an answer, one with a route a request.  */
#include "daemon/front_impl.h"
#include "t/fuzz/fuzz.h"

static struct kq_front *
make_front (void)
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
  kq_front_feed (front, &event);
  return front;
}

static void
free_front (struct kq_front *front)
{
  fuzz_assert (front->calls == NULL);
  fuzz_assert (front->open_calls == 0);
  while (front->idle_handles != NULL)
    {
      struct kq_front_easy *idle = front->idle_handles;

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
  struct kq_front_origin route = { .route_size = 4 };
  struct kq_front *front = make_front ();
  char *copy = fuzz_text (data, size);

  /* The endpoint can't be reached without a multi handle, so that each
     request ends at once.  */
  kq_front_message_take (front, &route, copy, size);
  kq_front_message_take (front, NULL, copy, size);
  free (copy);
  free_front (front);
  return 0;
}
