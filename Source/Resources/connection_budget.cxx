#include "Resources/connection_budget.h"

#include <optional>
#include <unordered_map>
#include <utility>

namespace persimmonshelf {

namespace {

struct entry
{
  std::function<void()> end;
  // Empty if the peer owes nothing.
  std::optional<instant> incomplete_since;
  bool ending = false;
};

}

struct connection_budget::state
{
  std::size_t limit = 0;
  std::size_t ending = 0;
  std::unordered_map<std::uint64_t, entry> entries;
  std::uint64_t last_number = 0;
};

connection_budget::place::place(std::shared_ptr<state> owner, std::uint64_t number)
  : owner_(std::move(owner))
  , number_(number)
{
}

connection_budget::place::~place()
{
  close();
}

connection_budget::place&
connection_budget::place::operator=(place&& other) noexcept
{
  if (this != &other) {
    close();
    owner_ = std::move(other.owner_);
    number_ = other.number_;
  }
  return *this;
}

void
connection_budget::place::close()
{
  if (!owner_) {
    return;
  }
  const auto found = owner_->entries.find(number_);
  if (found->second.ending) {
    --owner_->ending;
  }
  owner_->entries.erase(found);
  owner_.reset();
}

void
connection_budget::place::set_incomplete(instant since)
{
  if (owner_) {
    owner_->entries.at(number_).incomplete_since = since;
  }
}

void
connection_budget::place::set_complete()
{
  if (owner_) {
    owner_->entries.at(number_).incomplete_since.reset();
  }
}

connection_budget::connection_budget(std::size_t limit)
  : state_(std::make_shared<state>())
{
  state_->limit = limit;
}

bool
connection_budget::make_room()
{
  return count() < state_->limit || close_incomplete();
}

bool
connection_budget::close_incomplete()
{
  entry* oldest = nullptr;
  for (auto& [number, candidate] : state_->entries) {
    if (!candidate.ending && candidate.incomplete_since &&
        (oldest == nullptr || candidate.incomplete_since < oldest->incomplete_since)) {
      oldest = &candidate;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  oldest->ending = true;
  ++state_->ending;
  // `end` may destroy the place, and with it the stored function.
  if (const auto end = std::exchange(oldest->end, {})) {
    end();
  }
  return true;
}

connection_budget::place
connection_budget::open(std::function<void()> end, instant now)
{
  const auto number = ++state_->last_number;
  state_->entries.emplace(number, entry{ std::move(end), now, false });
  return { state_, number };
}

std::size_t
connection_budget::limit() const
{
  return state_->limit;
}

std::size_t
connection_budget::count() const
{
  return state_->entries.size() - state_->ending;
}

}
