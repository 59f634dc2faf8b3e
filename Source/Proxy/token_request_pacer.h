#pragma once

#include "Base/instant.h"

#include <optional>

namespace persimmonshelf {

// Paces an instance's requests for tokens: one at a time, and the next one after the answer, or
// after a while if the answer is late or lost.
class token_request_pacer
{
public:
  // Tokens are wanted.
  void request_tokens() { wanted_ = true; }
  void sent(instant now);
  void answered();

  // True if a request should be sent now.
  bool due(instant now) const;

private:
  bool wanted_ = false;
  std::optional<instant> unanswered_;
};

}
