#include "Proxy/member_session.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

using command_kind = member_command::command_kind;

// Values and prepared statements above these limits are not remembered for a member's connection
// that no session uses, in bytes. There are many such connections, and few sessions come near.
constexpr std::size_t max_idle_settings_bytes = 16 << 10;
constexpr std::size_t max_idle_prepared_bytes = 256 << 10;

}

std::size_t
bytes_of(const session_settings& settings)
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : settings) {
    bytes += name.size() + value.size() + entry_overhead_bytes;
  }
  return bytes;
}

std::size_t
bytes_of(const prepared_statement& prepared)
{
  return prepared.shape.size() + entry_overhead_bytes;
}

std::vector<member_command>
member_session::prepare(const session_settings& settings,
                        const std::optional<prepared_statement>& statement)
{
  std::vector<member_command> commands;
  const bool has_others = std::any_of(settings_.begin(), settings_.end(), [&](const auto& entry) {
    return !settings.contains(entry.first);
  });
  if (!known_ || has_others) {
    commands.push_back(reset());
  }
  add_settings(settings, commands);
  if (statement) {
    add_statement(*statement, commands);
  }
  known_ = commands.empty();
  return commands;
}

member_command
member_session::reset()
{
  clear();
  known_ = false;
  return { .kind = command_kind::reset };
}

void
member_session::forget()
{
  clear();
  known_ = false;
}

void
member_session::clear()
{
  settings_.clear();
  prepared_.clear();
  prepared_bytes_ = 0;
  free_numbers_.clear();
  next_number_ = 1;
}

void
member_session::add_settings(const session_settings& settings,
                             std::vector<member_command>& commands)
{
  for (const auto& [name, value] : settings) {
    const auto found = settings_.find(name);
    if (found == settings_.end() || found->second != value) {
      commands.push_back({ .kind = command_kind::set, .name = name, .argument = value });
      settings_[name] = value;
    }
  }
}

void
member_session::add_statement(const prepared_statement& statement,
                              std::vector<member_command>& commands)
{
  ++uses_;
  if (const auto found = prepared_.find(statement); found != prepared_.end()) {
    found->second.used = uses_;
    return;
  }
  const auto bytes = bytes_of(statement);
  while (!prepared_.empty() &&
         (prepared_.size() >= max_prepared || prepared_bytes_ + bytes > max_prepared_bytes)) {
    remove_least_recently_used(commands);
  }
  if (free_numbers_.empty()) {
    free_numbers_.insert(prepared_number(next_number_++));
  }
  const auto number = free_numbers_.extract(free_numbers_.begin()).value();
  prepared_[statement] = { number, uses_ };
  prepared_bytes_ += bytes;
  commands.push_back({ .kind = command_kind::prepare,
                       .prepared = number,
                       .argument = statement.shape,
                       .writes = statement.writes });
}

void
member_session::remove_least_recently_used(std::vector<member_command>& commands)
{
  const auto oldest =
    std::min_element(prepared_.begin(), prepared_.end(), [](const auto& left, const auto& right) {
      return left.second.used < right.second.used;
    });
  commands.push_back({ .kind = command_kind::deallocate, .prepared = oldest->second.number });
  free_numbers_.insert(oldest->second.number);
  prepared_bytes_ -= bytes_of(oldest->first);
  prepared_.erase(oldest);
}

std::optional<prepared_number>
member_session::number_of(const prepared_statement& statement) const
{
  const auto found = prepared_.find(statement);
  return found == prepared_.end() ? std::nullopt : std::optional(found->second.number);
}

bool
member_session::is_large() const
{
  return bytes_of(settings_) > max_idle_settings_bytes || prepared_bytes_ > max_idle_prepared_bytes;
}

}
