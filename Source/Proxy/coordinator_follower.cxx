#include "Proxy/coordinator_follower.h"

#include <algorithm>

namespace persimmonshelf {

coordinator_follower::coordinator_follower(incarnation_id own)
  : own_(own)
{
}

fencing_token
coordinator_follower::newest_token() const
{
  return std::max(token_, min_token_);
}

void
coordinator_follower::raise_min_token(fencing_token token)
{
  min_token_ = std::max(min_token_, token);
}

coordinator_follower::view_use
coordinator_follower::accept(const fleet_view& view, instant now)
{
  if (view.incarnation != own_ || view.token < newest_token() || view.echo_clock > now) {
    return view_use::none;
  }
  if (view.token == token_ && view.view_number <= view_number_) {
    return view_use::none;
  }
  const bool new_coordinator = view.token != token_;
  token_ = view.token;
  view_number_ = view.view_number;
  last_echo_clock_ = std::max(last_echo_clock_, view.echo_clock);
  if (view.tokens_only && !new_coordinator) {
    return view_use::tokens;
  }
  if (view.plan_only) {
    return view_use::plan;
  }
  view_clock_ = view.clock;
  view_received_at_ = now;
  return view_use::complete;
}

void
coordinator_follower::date_report(instance_report& report, instant now) const
{
  report.token = token_;
  report.view_number = view_number_;
  if (!report.plan_only) {
    report.view_clock = view_clock_;
    report.view_held_for = now - view_received_at_;
  }
}

}
