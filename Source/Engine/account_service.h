#pragma once

#include "Account/month_closer.h"
#include "Account/usage_ledger.h"
#include "Engine/control_service.h"
#include "Limits/distributed_rate_limiter.h"
#include "Wire/peer.pb.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonshelf {

struct request_end;

// Counts the usage of each workspace on this instance, mirrors the counters to two peers and
// reports the account of a month.
class account_service
{
public:
  struct hooks
  {
    table_hooks table;
    std::function<instant()> now;
    // Wall clock, in seconds since 1970.
    std::function<std::int64_t()> utc;
    std::function<void(const instance_id& peer, wire::envelope)> send;
    std::function<std::uint64_t(std::uint64_t bound)> random;
  };

  account_service(const control_service& control,
                  distributed_rate_limiter& rate_limiter,
                  hooks callbacks,
                  instant now);

  void record_admission(const workspace_id& workspace);
  void record_request_end(const request_end& end);
  void on_mirror(const instance_id& sender, const wire::usage_mirror& message, instant now);
  void tick(instant now);

  // Marks the counters of this incarnation as complete. Nothing may be counted afterwards.
  void close(instant now);
  bool closed() const { return closing_ && ledger_.written(); }

  // Returns the counters of this incarnation for a workspace, as JSON.
  boost::json::object usage(const workspace_id& workspace) const;

  // Passes the closed account of a month, or the current totals if the month is still open, to
  // `done` as JSON text. Fails with bad_request, not_found or platform_unavailable.
  void report(const std::string& month, std::function<void(result<std::string>)> done);

private:
  // State of a peer's incarnation that mirrors its counters to this instance.
  struct mirrored_incarnation
  {
    instance_id instance;
    std::vector<usage_share> shares;
    instant mirrored_at;
    bool failed = false;
  };

  void send_mirrors(instant now);
  void check_peers(instant now);

  const control_service& control_;
  distributed_rate_limiter& rate_limiter_;
  hooks hooks_;
  usage_ledger ledger_;
  month_closer closer_;
  std::map<incarnation_id, mirrored_incarnation> mirrored_incarnations_;
  std::map<workspace_id, std::uint64_t> last_borrowed_;
  std::vector<instance_id> mirror_peers_;
  instant mirrors_sent_at_;
  bool closing_ = false;
};

}
