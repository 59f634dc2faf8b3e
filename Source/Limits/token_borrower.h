#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Limits/random_sequence.h"
#include "Limits/share_settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace persimmonshelf {

// Borrows single tokens from peers for requests that the instance's own bucket could not admit.
// Asks at most two peers for each request and discards tokens that arrive after `borrow_ttl`.
class token_borrower
{
public:
  enum class outcome
  {
    borrowed,
    // A peer answered, now or shortly before, that it has no token.
    refused,
    // No peer answered, or no peer could be asked.
    unanswered,
  };
  using callback = std::function<void(outcome, instant)>;
  // `milli` is the number of milli-tokens that are requested or, in an answer, lent.
  using send_hook = std::function<
    void(const instance_id& peer, std::uint64_t id, const workspace_id&, std::int64_t milli)>;

  // `first_id` must differ between runs of an instance, so that a late answer to an earlier run
  // does not match a request of this run.
  token_borrower(const share_settings& settings, std::uint64_t first_id, send_hook send);

  // A peer that holds a share, and the time in which its bucket gains one token.
  struct lender
  {
    instance_id instance;
    duration time_per_token{};
  };
  // Calls `done` once, at once if no peer can be asked, otherwise from answer() or tick().
  void borrow(const workspace_id& workspace,
              const std::vector<lender>& lenders,
              instant now,
              callback done);

  // Handles a peer's answer to request `id`; `milli` is 0 if the peer has no token. Ignored if the
  // request is unknown or was sent to another peer.
  void answer(const instance_id& peer, std::uint64_t id, std::int64_t milli, instant now);

  // Handles a peer's report of its spare milli-tokens that is not an answer, such as in a
  // heartbeat.
  void on_surplus_report(const instance_id& peer,
                         const workspace_id& workspace,
                         std::int64_t milli,
                         instant now);

  // Asks the next peer for requests whose attempt timed out, or ends them if no peer is left.
  void tick(instant now);

  // Number of requests that wait for a token.
  std::size_t pending_count() const { return pending_.size(); }

private:
  // One message to one peer.
  struct attempt
  {
    instance_id peer;
    std::uint64_t borrow_number = 0;
    instant sent{};
    duration time_per_token{};
  };
  struct peer_backoff
  {
    instant until;
    // True if the peer refused, false if it did not answer.
    bool answered = false;
  };
  struct pending_borrow
  {
    workspace_id workspace;
    callback done;
    // Peers not asked yet; the next one to ask is last.
    std::vector<lender> remaining_peers;
    // True if at least one peer has no token.
    bool refused = false;
    // When the next peer is asked.
    instant attempt_deadline{};
  };

  // Returns false if no peer is left.
  bool ask_next_peer(std::uint64_t number, pending_borrow& entry, instant now);
  void finish(std::uint64_t number, outcome result, instant now);

  share_settings settings_;
  send_hook send_;
  std::uint64_t next_id_;
  random_sequence random_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, pending_borrow> pending_;
  std::map<std::uint64_t, attempt> attempts_;
  // Peers that had no token or did not answer and are not asked for some time.
  std::map<std::pair<workspace_id, instance_id>, peer_backoff> backoffs_;
};

}
