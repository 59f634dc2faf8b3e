#include "Limits/token_borrower.h"

#include <algorithm>
#include <chrono>

namespace persimmonshelf {

namespace {

constexpr std::size_t peers_per_request = 2;
// Number of peers that are looked at to find some that may have tokens.
constexpr int samples = 16;
// Of this many such peers the ones with the largest shares are asked.
constexpr std::size_t considered = 4;
constexpr duration shortest_dry = std::chrono::milliseconds(5);
constexpr duration longest_dry = std::chrono::seconds(1);
constexpr duration silent_dry = std::chrono::seconds(2);

}

token_borrower::token_borrower(const share_settings& settings,
                               std::uint64_t first_id,
                               send_hook send)
  : settings_(settings)
  , send_(std::move(send))
  , next_id_(first_id)
  , random_(first_id)
{
}

void
token_borrower::borrow(const workspace_id& workspace,
                       const std::vector<lender>& lenders,
                       instant now,
                       callback done)
{
  waiter entry;
  entry.workspace = workspace;
  entry.done = std::move(done);
  for (int i = 0; i < samples && !lenders.empty() && entry.next.size() < considered; ++i) {
    const auto& peer = lenders[random_.below(lenders.size())];
    const auto known = dry_.find(std::pair(workspace, peer.instance));
    if (known != dry_.end() && now < known->second.until) {
      entry.refused = entry.refused || known->second.answered;
      continue;
    }
    const auto same = [&](const lender& other) { return other.instance == peer.instance; };
    if (std::none_of(entry.next.begin(), entry.next.end(), same)) {
      entry.next.push_back(peer);
    }
  }
  // The richest of those is asked first, that is, stands last.
  std::sort(entry.next.begin(), entry.next.end(), [](const lender& left, const lender& right) {
    return left.earns_token > right.earns_token;
  });
  if (entry.next.size() > peers_per_request) {
    entry.next.erase(entry.next.begin(), entry.next.end() - peers_per_request);
  }
  const auto number = next_waiter_++;
  auto& stored = waiters_.emplace(number, std::move(entry)).first->second;
  if (!ask(number, stored, now)) {
    finish(number, stored.refused ? outcome::refused : outcome::unanswered, now);
  }
}

bool
token_borrower::ask(std::uint64_t number, waiter& entry, instant now)
{
  if (entry.next.empty()) {
    return false;
  }
  const auto peer = std::move(entry.next.back());
  entry.next.pop_back();
  entry.next_at = now + settings_.borrow_try;
  const auto id = next_id_++;
  attempts_.emplace(id, attempt{ peer.instance, number, now, peer.earns_token });
  send_(peer.instance, id, entry.workspace, token_milli);
  return true;
}

void
token_borrower::finish(std::uint64_t number, outcome result, instant now)
{
  const auto found = waiters_.find(number);
  const auto done = std::move(found->second.done);
  waiters_.erase(found);
  done(result, now);
}

void
token_borrower::answer(const instance_id& peer, std::uint64_t id, std::int64_t milli, instant now)
{
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.peer != peer) {
    return;
  }
  const auto asked = found->second;
  attempts_.erase(found);
  const auto waiting = waiters_.find(asked.waiter);
  if (waiting == waiters_.end()) {
    return;
  }
  auto& entry = waiting->second;
  if (milli >= token_milli) {
    dry_.erase(std::pair(entry.workspace, peer));
    // The lender counts the token as unused only until its time to live ends.
    if (now - asked.sent < settings_.borrow_ttl) {
      finish(asked.waiter, outcome::borrowed, now);
    }
    return;
  }
  const auto pause = std::clamp(asked.earns_token / 2, shortest_dry, longest_dry);
  dry_[std::pair(entry.workspace, peer)] = { now + pause, true };
  entry.refused = true;
  if (!ask(asked.waiter, entry, now)) {
    finish(asked.waiter, outcome::refused, now);
  }
}

void
token_borrower::heard(const instance_id& peer,
                      const workspace_id& workspace,
                      std::int64_t milli,
                      instant now)
{
  if (milli >= token_milli) {
    dry_.erase(std::pair(workspace, peer));
    return;
  }
  dry_[std::pair(workspace, peer)] = { now + longest_dry, true };
}

void
token_borrower::tick(instant now)
{
  std::vector<std::uint64_t> late;
  for (const auto& [number, entry] : waiters_) {
    if (now >= entry.next_at) {
      late.push_back(number);
    }
  }
  for (auto found = attempts_.begin(); found != attempts_.end();) {
    const auto& asked = found->second;
    const auto waiting = waiters_.find(asked.waiter);
    if (waiting != waiters_.end() && now - asked.sent >= settings_.borrow_try) {
      dry_[std::pair(waiting->second.workspace, asked.peer)] = { now + silent_dry, false };
    }
    found = now - asked.sent >= settings_.borrow_ttl ? attempts_.erase(found) : std::next(found);
  }
  for (const auto number : late) {
    const auto found = waiters_.find(number);
    if (found == waiters_.end()) {
      continue;
    }
    auto& entry = found->second;
    if (!ask(number, entry, now)) {
      finish(number, entry.refused ? outcome::refused : outcome::unanswered, now);
    }
  }
  std::erase_if(dry_, [&](const auto& known) { return now >= known.second.until; });
}

}
