#pragma once

#include "Base/instant.h"

#include <optional>

namespace persimmonshelf {

// Paces an instance's token requests. Only one request is outstanding at a time; the next one is
// sent after the answer, or after a timeout if the answer is late or lost.
class token_request_pacer
{
public:
  // Marks that tokens are needed.
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
