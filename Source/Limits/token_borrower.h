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

// Borrows single tokens from peers for requests that found the own bucket empty. Asks at most two
// peers for each request and drops tokens that arrive after their time to live.
class token_borrower
{
public:
  enum class outcome
  {
    borrowed,
    // A peer answered that it has no token.
    refused,
    // No peer answered, or none is known.
    unanswered,
  };
  using callback = std::function<void(outcome, instant)>;
  using send_hook = std::function<
    void(const instance_id& peer, std::uint64_t id, const workspace_id&, std::int64_t milli)>;

  // `first_id` must differ between runs of an instance, so that a late answer to an earlier run
  // matches no request of this one.
  token_borrower(const share_settings& settings, std::uint64_t first_id, send_hook send);

  // `lenders` are the peers that hold shares, with the time in which each earns a token.
  struct lender
  {
    instance_id instance;
    duration time_per_token{};
  };
  void borrow(const workspace_id& workspace,
              const std::vector<lender>& lenders,
              instant now,
              callback done);

  // An answer to request `id`; `milli` is 0 if the peer has none.
  void answer(const instance_id& peer, std::uint64_t id, std::int64_t milli, instant now);

  // What a peer said about its tokens outside an answer, such as in a heartbeat.
  void on_surplus_report(const instance_id& peer,
                         const workspace_id& workspace,
                         std::int64_t milli,
                         instant now);

  // Asks the next peer or ends requests whose time is over.
  void tick(instant now);

  std::size_t pending_count() const { return pending_.size(); }

private:
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
    bool answered = false;
  };
  struct pending_borrow
  {
    workspace_id workspace;
    callback done;
    // Peers that are still to be asked, the next one last.
    std::vector<lender> remaining_peers;
    bool refused = false;
    // When the present attempt is given up.
    instant attempt_deadline{};
  };

  bool ask_next_peer(std::uint64_t number, pending_borrow& entry, instant now);
  void finish(std::uint64_t number, outcome result, instant now);

  share_settings settings_;
  send_hook send_;
  std::uint64_t next_id_;
  random_sequence random_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, pending_borrow> pending_;
  std::map<std::uint64_t, attempt> attempts_;
  // Peers that had no token or did not answer, until when they are not asked.
  std::map<std::pair<workspace_id, instance_id>, peer_backoff> backoffs_;
};

}
