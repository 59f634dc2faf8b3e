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
  token_ = view.token;
  view_number_ = view.view_number;
  last_echo_clock_ = std::max(last_echo_clock_, view.echo_clock);
  if (view.tokens_only) {
    return view_use::tokens;
  }
  if (view.plan_only || view.echo_clock < plan_reported_at_) {
    return view_use::plan;
  }
  newest_complete_ = applied_view{ view.token, view.view_number, view.clock, duration::zero() };
  newest_complete_at_ = now;
  if (view.shares) {
    shares_view_ = { view.token, view.view_number };
  }
  return view_use::complete;
}

std::optional<applied_view>
coordinator_follower::newest_complete_view(instant now) const
{
  auto view = newest_complete_;
  if (view) {
    view->held_for = now - newest_complete_at_;
  }
  return view;
}

}
