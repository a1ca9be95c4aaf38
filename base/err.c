#include "base/err.h"

const char *
kq_err_name (int err)
{
#define KQ_ERR_CASE(name, number, text)                                       \
  case name:                                                                  \
    return #name;
  switch (err)
    {
    case KQ_OK:
      return "KQ_OK";
      KQ_ERR_LIST (KQ_ERR_CASE)
    default:
      return "KQ_UNKNOWN";
    }
#undef KQ_ERR_CASE
}

const char *
kq_err_text (int err)
{
#define KQ_ERR_CASE(name, number, text)                                       \
  case name:                                                                  \
    return text;
  switch (err)
    {
    case KQ_OK:
      return "success";
      KQ_ERR_LIST (KQ_ERR_CASE)
    default:
      return "unknown error";
    }
#undef KQ_ERR_CASE
}
