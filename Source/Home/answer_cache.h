#pragma once

#include "Home/home_types.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace persimmonshelf {

// Caches the answers of the last minute by request id. A request that arrives twice is answered
// from the cache instead of being run again.
class answer_cache
{
public:
  struct limits
  {
    duration retention = std::chrono::seconds(60);
    // About 8 MB without rows. Above 270 requests per second this limit is reached before
    // `retention`, and answers are kept for less than a minute.
    std::size_t max_answers = 16'384;
    // Above this limit the rows of the oldest answers are dropped; their outcomes are kept.
    std::size_t max_row_bytes = 4U << 20U;
  };

  explicit answer_cache(limits bounds);

  void insert(home_answer answer,
              const workspace_id& workspace,
              const sha256_digest& key_digest,
              instant now);

  // Returns the cached answer, or null if there is none or the request came from another workspace
  // or key.
  const home_answer* find(const request_id& id,
                          const workspace_id& workspace,
                          const sha256_digest& key_digest) const;
  bool contains(const request_id& id) const { return answers_.contains(id); }

  // Drops the rows of all answers to requests that used a revoked key.
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
  // Oldest first.
  std::deque<request_id> by_age_;
  // Ids of answers that still have their rows, oldest first.
  std::deque<request_id> with_rows_;
  std::size_t row_bytes_ = 0;
};

}
