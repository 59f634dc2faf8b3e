#include "Proxy/ask_pacer.h"

namespace persimmonshelf {

namespace {

// Several round trips between zones; a later answer is taken for lost.
constexpr duration answer_limit = std::chrono::milliseconds(40);

}

void
ask_pacer::sent(instant now)
{
  wanted_ = false;
  unanswered_ = now;
}

void
ask_pacer::answered()
{
  unanswered_.reset();
}

bool
ask_pacer::due(instant now) const
{
  return wanted_ && (!unanswered_ || now - *unanswered_ >= answer_limit);
}

}
