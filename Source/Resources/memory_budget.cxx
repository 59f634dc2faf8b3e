#include "Resources/memory_budget.h"

#include <unordered_map>
#include <utility>

namespace persimmonshelf {

namespace {

struct entry
{
  std::size_t bytes = 0;
  std::size_t ranked_bytes = 0;
  std::function<void()> end;
  bool ending = false;
};

}

struct memory_budget::state
{
  std::size_t limit = 0;
  std::size_t used = 0;
  // Part of `used` that accounts hold which were told to end.
  std::size_t ending = 0;
  bool exceeded_reported = false;
  std::function<void()> exceeded;
  std::unordered_map<std::uint64_t, entry> entries;
  std::uint64_t last_number = 0;
};

memory_budget::account::account(std::shared_ptr<state> owner, std::uint64_t number)
  : owner_(std::move(owner))
  , number_(number)
{
}

memory_budget::account::~account()
{
  close();
}

memory_budget::account&
memory_budget::account::operator=(account&& other) noexcept
{
  if (this != &other) {
    close();
    owner_ = std::move(other.owner_);
    number_ = other.number_;
  }
  return *this;
}

void
memory_budget::account::close()
{
  if (owner_) {
    set(0);
    owner_->entries.erase(number_);
    owner_.reset();
  }
}

void
memory_budget::account::set(std::size_t bytes, std::size_t ranked_bytes)
{
  if (!owner_) {
    return;
  }
  auto& own = owner_->entries.at(number_);
  owner_->used += bytes - own.bytes;
  if (own.ending) {
    owner_->ending += bytes - own.bytes;
  }
  own.bytes = bytes;
  own.ranked_bytes = ranked_bytes;
  if (owner_->used - owner_->ending > owner_->limit && owner_->exceeded &&
      !std::exchange(owner_->exceeded_reported, true)) {
    owner_->exceeded();
  }
}

std::size_t
memory_budget::account::bytes() const
{
  return owner_ ? owner_->entries.at(number_).bytes : 0;
}

memory_budget::memory_budget(std::size_t limit_bytes, std::function<void()> exceeded)
  : state_(std::make_shared<state>())
{
  state_->limit = limit_bytes;
  state_->exceeded = std::move(exceeded);
}

memory_budget::account
memory_budget::open(std::function<void()> end)
{
  const auto number = ++state_->last_number;
  state_->entries[number].end = std::move(end);
  return { state_, number };
}

std::size_t
memory_budget::enforce()
{
  // The holders of the ended accounts may destroy the budget's owner.
  const auto shared = state_;
  shared->exceeded_reported = false;
  std::size_t ended = 0;
  while (shared->used - shared->ending > shared->limit) {
    entry* largest = nullptr;
    for (auto& [number, candidate] : shared->entries) {
      if (!candidate.ending && candidate.end &&
          (largest == nullptr || candidate.ranked_bytes > largest->ranked_bytes)) {
        largest = &candidate;
      }
    }
    if (largest == nullptr) {
      break;
    }
    largest->ending = true;
    shared->ending += largest->bytes;
    ++ended;
    // `end` may destroy the account, and with it the stored function.
    if (const auto end = std::exchange(largest->end, {})) {
      end();
    }
  }
  return ended;
}

std::size_t
memory_budget::limit_bytes() const
{
  return state_->limit;
}

std::size_t
memory_budget::used_bytes() const
{
  return state_->used;
}

std::size_t
memory_budget::account_count() const
{
  return state_->entries.size();
}

}
