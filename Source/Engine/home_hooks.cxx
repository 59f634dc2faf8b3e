#include "Engine/served_member.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration connect_timeout = std::chrono::seconds(1);

}

member_home_hooks
home_service::make_home_hooks(served_member& target)
{
  member_home_hooks calls;
  calls.open_connection = [this, &target](connection_number number) {
    open_connection(target, number);
  };
  calls.send = [this, &target](connection_number number, backend_request request) {
    const auto connection = target.connections.find(number);
    if (connection != target.connections.end()) {
      const auto timeout = request.timeout;
      connections_.send(connection->second, std::move(request), timeout);
    }
  };
  calls.close_connection = [this, &target](connection_number number) {
    const auto connection = target.connections.find(number);
    if (connection != target.connections.end()) {
      connections_.close(connection->second);
      target.connections.erase(connection);
    }
  };
  calls.answer = [this, &target](const home_answer& answer) { handle_answer(target, answer); };
  calls.current_term = [this, &target]() -> std::optional<term> {
    const auto claim = groups_.confirmed_primary(target.database, now_);
    if (!claim || claim->member != target.id) {
      return std::nullopt;
    }
    return claim->in_term;
  };
  calls.other_primary = [this, &target] {
    const auto claim = groups_.confirmed_primary(target.database, now_);
    return claim && claim->member != target.id;
  };
  calls.majority_holds = [this, &target](log_point point) {
    const auto* view = groups_.find(target.database);
    return view != nullptr && view->majority_holds(point);
  };
  calls.member_ready =
    [this, &target](const std::optional<log_point>& at_least, duration max_age, instant now) {
      return read_readiness_of(target, at_least, max_age, now);
    };
  calls.random_bits = hooks_.random_bits;
  return calls;
}

read_readiness
home_service::read_readiness_of(const served_member& target,
                                const std::optional<log_point>& at_least,
                                duration max_age,
                                instant now) const
{
  const auto* view = groups_.find(target.database);
  if (view == nullptr) {
    return read_readiness::never;
  }
  const auto* state = view->find(target.id);
  if (state == nullptr || state->leaving) {
    return read_readiness::never;
  }
  if (at_least && !view->member_contains(target.id, view->required_point(*at_least))) {
    return read_readiness::never;
  }
  if (max_age > duration::zero()) {
    const auto age = view->age(target.id, now);
    if (!age || *age > max_age) {
      return read_readiness::never;
    }
  }
  return read_readiness::ready;
}

void
home_service::open_connection(served_member& target, connection_number number)
{
  target.connections[number] = connections_.open(
    target.address, connect_timeout, [this, &target, number](backend_event& event, instant now) {
      handle_connection_event(target, number, event, now);
    });
}

void
home_service::handle_connection_event(served_member& target,
                                      connection_number number,
                                      backend_event& event,
                                      instant now)
{
  now_ = now;
  using event_type = backend_event::event_type;
  auto& home = *target.home;
  switch (event.kind) {
    case event_type::connected:
      home.connected(number, true, now);
      return;
    case event_type::answered:
      if (const auto* answer = std::get_if<backend_answer>(&event.reply)) {
        home.backend_answered(number, *answer, now);
      } else {
        home.backend_failed(number, true, result_code::malformed_answer, now);
      }
      return;
    case event_type::connect_failed:
      target.connections.erase(number);
      home.connected(number, false, now);
      return;
    case event_type::failed: {
      target.connections.erase(number);
      const auto reason =
        event.timed_out ? result_code::answer_overdue : result_code::connection_lost;
      home.backend_failed(number, event.may_have_been_sent, reason, now);
      return;
    }
    case event_type::closed:
      target.connections.erase(number);
      home.connection_closed(number, now);
      return;
  }
}

}
