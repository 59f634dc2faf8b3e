#include "Limits/token_borrower.h"

#include <algorithm>
#include <chrono>

namespace persimmonshelf {

namespace {

constexpr std::size_t max_peers_per_request = 2;
// Number of random peers that are examined to find candidates without a back-off.
constexpr int max_sampled_peers = 16;
// The candidates with the largest shares are asked; no more candidates than this are collected.
constexpr std::size_t max_candidate_peers = 4;
// A peer that refused is not asked for half the time in which it gains a token, within these
// bounds.
constexpr duration min_refusal_backoff = std::chrono::milliseconds(5);
constexpr duration max_refusal_backoff = std::chrono::seconds(1);
// A peer that did not answer is not asked for this time.
constexpr duration unanswered_backoff = std::chrono::seconds(2);

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
  pending_borrow entry;
  entry.workspace = workspace;
  entry.done = std::move(done);
  for (int i = 0; i < max_sampled_peers && !lenders.empty() &&
                  entry.remaining_peers.size() < max_candidate_peers;
       ++i) {
    const auto& peer = lenders[random_.below(lenders.size())];
    const auto backoff = backoffs_.find(std::pair(workspace, peer.instance));
    if (backoff != backoffs_.end() && now < backoff->second.until) {
      entry.refused = entry.refused || backoff->second.answered;
      continue;
    }
    const auto same = [&](const lender& other) { return other.instance == peer.instance; };
    if (std::none_of(entry.remaining_peers.begin(), entry.remaining_peers.end(), same)) {
      entry.remaining_peers.push_back(peer);
    }
  }
  // The peer that gains tokens fastest is asked first, so it is placed last.
  std::sort(entry.remaining_peers.begin(),
            entry.remaining_peers.end(),
            [](const lender& left, const lender& right) {
              return left.time_per_token > right.time_per_token;
            });
  if (entry.remaining_peers.size() > max_peers_per_request) {
    entry.remaining_peers.erase(entry.remaining_peers.begin(),
                                entry.remaining_peers.end() - max_peers_per_request);
  }
  const auto number = next_number_++;
  auto& stored = pending_.emplace(number, std::move(entry)).first->second;
  if (!ask_next_peer(number, stored, now)) {
    finish(number, stored.refused ? outcome::refused : outcome::unanswered, now);
  }
}

bool
token_borrower::ask_next_peer(std::uint64_t number, pending_borrow& entry, instant now)
{
  if (entry.remaining_peers.empty()) {
    return false;
  }
  const auto peer = std::move(entry.remaining_peers.back());
  entry.remaining_peers.pop_back();
  entry.attempt_deadline = now + settings_.borrow_attempt_timeout;
  const auto id = next_id_++;
  attempts_.emplace(id, attempt{ peer.instance, number, now, peer.time_per_token });
  send_(peer.instance, id, entry.workspace, token_milli);
  return true;
}

void
token_borrower::finish(std::uint64_t number, outcome result, instant now)
{
  const auto found = pending_.find(number);
  const auto done = std::move(found->second.done);
  pending_.erase(found);
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
  const auto pending = pending_.find(asked.borrow_number);
  if (pending == pending_.end()) {
    return;
  }
  auto& entry = pending->second;
  if (milli >= token_milli) {
    backoffs_.erase(std::pair(entry.workspace, peer));
    // A later token is discarded: the lender counts it toward its capacity only until its time to
    // live ends.
    if (now - asked.sent < settings_.borrow_ttl) {
      finish(asked.borrow_number, outcome::borrowed, now);
    }
    return;
  }
  const auto pause = std::clamp(asked.time_per_token / 2, min_refusal_backoff, max_refusal_backoff);
  backoffs_[std::pair(entry.workspace, peer)] = { now + pause, true };
  entry.refused = true;
  if (!ask_next_peer(asked.borrow_number, entry, now)) {
    finish(asked.borrow_number, outcome::refused, now);
  }
}

void
token_borrower::on_surplus_report(const instance_id& peer,
                                  const workspace_id& workspace,
                                  std::int64_t milli,
                                  instant now)
{
  if (milli >= token_milli) {
    backoffs_.erase(std::pair(workspace, peer));
    return;
  }
  backoffs_[std::pair(workspace, peer)] = { now + max_refusal_backoff, true };
}

void
token_borrower::tick(instant now)
{
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, entry] : pending_) {
    if (now >= entry.attempt_deadline) {
      overdue.push_back(number);
    }
  }
  for (auto found = attempts_.begin(); found != attempts_.end();) {
    const auto& asked = found->second;
    const auto pending = pending_.find(asked.borrow_number);
    if (pending != pending_.end() && now - asked.sent >= settings_.borrow_attempt_timeout) {
      backoffs_[std::pair(pending->second.workspace, asked.peer)] = { now + unanswered_backoff,
                                                                      false };
    }
    found = now - asked.sent >= settings_.borrow_ttl ? attempts_.erase(found) : std::next(found);
  }
  for (const auto number : overdue) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
      continue;
    }
    auto& entry = found->second;
    if (!ask_next_peer(number, entry, now)) {
      finish(number, entry.refused ? outcome::refused : outcome::unanswered, now);
    }
  }
  std::erase_if(backoffs_, [&](const auto& backoff) { return now >= backoff.second.until; });
}

}
