#include "Proxy/token_wait_summary.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

void
token_wait_summary::record(const token_wait& wait)
{
  auto& recorded = entries_[wait.workspace];
  switch (wait.outcome) {
    case token_wait::result::admitted:
      ++recorded.admitted;
      break;
    case token_wait::result::refused:
      ++recorded.refused;
      break;
    case token_wait::result::cancelled:
      ++recorded.cancelled;
      break;
  }
  recorded.longest_wait = std::max(recorded.longest_wait, wait.waited);
  recorded.longest_retry = std::max(recorded.longest_retry, wait.retry_after);
}

std::map<workspace_id, token_wait_summary::entry>
token_wait_summary::take()
{
  return std::exchange(entries_, {});
}

}
