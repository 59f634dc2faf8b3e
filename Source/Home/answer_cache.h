#pragma once

#include "Home/home_types.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace persimmonshelf {

// Answers of the last minute by request id. A request that arrives twice is answered from here
// instead of being run again.
class answer_cache
{
public:
  struct limits
  {
    duration retention = std::chrono::seconds(60);
    // About 8 MB without rows; a member that answers more than 270 requests a second keeps its
    // answers for less than a minute.
    std::size_t max_answers = 16'384;
    // Rows of older answers are dropped first; their outcome is kept.
    std::size_t max_row_bytes = 4U << 20U;
  };

  explicit answer_cache(limits bounds);

  void insert(home_answer answer,
              const workspace_id& workspace,
              const sha256_digest& key_digest,
              instant now);

  // The stored answer, or null. Null also for an id of another workspace or key.
  const home_answer* find(const request_id& id,
                          const workspace_id& workspace,
                          const sha256_digest& key_digest) const;
  bool contains(const request_id& id) const { return answers_.contains(id); }

  // Takes the rows away from the answers of a revoked key.
  void drop_rows_of_key(const sha256_digest& key_digest);

  void remove_expired(instant now);
  std::size_t size() const { return answers_.size(); }

private:
  struct entry
  {
    home_answer answer;
    workspace_id workspace;
    sha256_digest key_digest{};
    instant stored_at;
  };

  void remove_oldest();
  void drop_rows(entry& target);

  limits bounds_;
  std::unordered_map<request_id, entry> answers_;
  std::deque<request_id> by_age_;
  // Ids of answers that still have their rows, oldest first.
  std::deque<request_id> with_rows_;
  std::size_t row_bytes_ = 0;
};

}
