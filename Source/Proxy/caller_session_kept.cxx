#include "Proxy/caller_session.h"

namespace persimmonshelf {

// Sets a value or a prepared statement of the session. Returns false, and changes nothing, if the
// session would exceed its limit.
bool
caller_session::keep(const statement& request)
{
  const bool is_set = request.kind == statement_kind::set;
  std::size_t former = 0;
  if (const auto found = settings_.find(request.name); is_set && found != settings_.end()) {
    former = found->first.size() + found->second.size() + entry_overhead_bytes;
  }
  if (const auto found = prepared_.find(request.name); !is_set && found != prepared_.end()) {
    former = found->first.size() + bytes_of(found->second);
  }
  const auto next =
    kept_bytes_ - former + request.name.size() + request.argument.size() + entry_overhead_bytes;
  const bool too_many =
    is_set && settings_.size() >= max_settings && !settings_.contains(request.name);
  if (next > max_kept_bytes || too_many) {
    return false;
  }
  kept_bytes_ = next;
  if (is_set) {
    settings_[request.name] = request.argument;
  } else {
    prepared_[request.name] = { request.argument, request.writes };
  }
  return true;
}

// Bounds the copies of a session's state that stay with a member's connection.
void
caller_session::forget_large_state()
{
  if (connection_->kept.is_large()) {
    connection_->kept.forget();
  }
}

}
