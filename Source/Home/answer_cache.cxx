#include "Home/answer_cache.h"

#include <utility>

namespace persimmonshelf {

answer_cache::answer_cache(limits bounds)
  : bounds_(bounds)
{
}

void
answer_cache::insert(home_answer answer,
                     const workspace_id& workspace,
                     const sha256_digest& key_digest,
                     instant now)
{
  const auto id = answer.id;
  const std::size_t bytes = answer.rows.size();
  const auto [position, created] =
    answers_.try_emplace(id, entry{ std::move(answer), workspace, key_digest, now });
  if (!created) {
    return;
  }
  by_age_.push_back(id);
  if (bytes > 0) {
    with_rows_.push_back(id);
    row_bytes_ += bytes;
  }
  while (row_bytes_ > bounds_.max_row_bytes && !with_rows_.empty()) {
    const auto oldest = answers_.find(with_rows_.front());
    with_rows_.pop_front();
    if (oldest != answers_.end()) {
      drop_rows(oldest->second);
    }
  }
  while (answers_.size() > bounds_.max_answers) {
    remove_oldest();
  }
}

// A successful answer without its rows would be incomplete, so the cached answer changes to an
// unknown outcome.
void
answer_cache::drop_rows(entry& target)
{
  if (target.answer.rows.empty()) {
    return;
  }
  row_bytes_ -= target.answer.rows.size();
  target.answer.rows.clear();
  target.answer.code = result_code::home_lost;
  target.answer.outcome = run_outcome::unknown;
  target.answer.message = "the request was answered before, but its rows are no longer cached";
}

void
answer_cache::remove_oldest()
{
  const auto found = answers_.find(by_age_.front());
  by_age_.pop_front();
  if (found == answers_.end()) {
    return;
  }
  row_bytes_ -= found->second.answer.rows.size();
  answers_.erase(found);
}

const home_answer*
answer_cache::find(const request_id& id,
                   const workspace_id& workspace,
                   const sha256_digest& key_digest) const
{
  const auto found = answers_.find(id);
  if (found == answers_.end() || found->second.workspace != workspace ||
      !equal_constant_time(found->second.key_digest, key_digest)) {
    return nullptr;
  }
  return &found->second.answer;
}

void
answer_cache::drop_rows_of_key(const sha256_digest& key_digest)
{
  for (auto& [id, item] : answers_) {
    if (equal_constant_time(item.key_digest, key_digest)) {
      drop_rows(item);
    }
  }
}

void
answer_cache::remove_expired(instant now)
{
  while (!by_age_.empty()) {
    const auto found = answers_.find(by_age_.front());
    if (found != answers_.end() && now - found->second.stored_at < bounds_.retention) {
      break;
    }
    remove_oldest();
  }
  while (!with_rows_.empty() && !answers_.contains(with_rows_.front())) {
    with_rows_.pop_front();
  }
}

}
