#include "Proxy/caller_session.h"

namespace persimmonshelf {

namespace {

// Values and prepared statements above these limits are not remembered for a member's connection
// that no session uses, in bytes. There are many such connections, and few sessions come near.
constexpr std::size_t max_idle_settings_bytes = 16 << 10;
constexpr std::size_t max_idle_prepared_bytes = 256 << 10;

}

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
  if (bytes_of(connection_->settings) > max_idle_settings_bytes ||
      bytes_of(connection_->prepared) > max_idle_prepared_bytes) {
    connection_->settings.clear();
    connection_->prepared.clear();
    connection_->needs_reset = true;
  }
}

}
