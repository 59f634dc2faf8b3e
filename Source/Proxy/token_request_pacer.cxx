#include "Proxy/token_request_pacer.h"

namespace persimmonshelf {

namespace {

// Several round trips between zones; a later answer counts as lost.
constexpr duration answer_timeout = std::chrono::milliseconds(40);

}

void
token_request_pacer::sent(instant now)
{
  wanted_ = false;
  unanswered_ = now;
}

void
token_request_pacer::answered()
{
  unanswered_.reset();
}

bool
token_request_pacer::due(instant now) const
{
  return wanted_ && (!unanswered_ || now - *unanswered_ >= answer_timeout);
}

}
