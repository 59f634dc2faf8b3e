#include "ProxyNode/proxy_node_state.h"

#include "Base/guarded_call.h"
#include "Net/http_server.h"
#include "Proxy/admission.h"
#include "Proxy/connection_pool.h"
#include "Proxy/fleet_state.h"
#include "Proxy/position_history.h"
#include "Proxy/rate_limiter.h"
#include "ProxyNode/boot_clock.h"
#include "ProxyNode/caller_connection.h"
#include "ProxyNode/decision_log.h"
#include "ProxyNode/fleet_participant.h"
#include "ProxyNode/member_connection.h"
#include "ProxyNode/node_metrics.h"
#include "ProxyNode/signal_mask.h"
#include "platform/line_protocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace persimmonshelf {

namespace {

using boost::asio::ip::tcp;

// Resolution of the statement time limits and of the connection queue.
constexpr duration tick_period = std::chrono::milliseconds(20);
// Key evidence expires this long before the revocation limit, which leaves time for the statement
// to reach the member.
constexpr duration key_evidence_margin = std::chrono::milliseconds(250);
// Delay between the stop signal and the first closed sessions. By then two readiness probes have
// failed and no new callers arrive.
constexpr duration drain_delay = std::chrono::milliseconds(2300);
// Sessions with an open transaction are closed this long after half of the grace period.
constexpr duration transaction_drain_delay = std::chrono::milliseconds(500);
// The process exits this long before the platform would kill it.
constexpr duration exit_margin = std::chrono::milliseconds(400);
// Kernel buffer for answers that a caller has not received, in bytes. Below 64 KiB, an answer of
// 200 KB takes 140 ms on loopback, since a segment is larger than the buffer.
constexpr int send_buffer_bytes = 64 << 10;
// Time to send the answers of statements that are still in flight then.
constexpr duration final_answers_time = std::chrono::milliseconds(200);

}

proxy_node::state::state(const node_settings& initial_settings)
  : settings(initial_settings)
  , resources(plan_resources(settings.resources.memory_bytes, settings.resources.descriptors))
  , context(1)
  , log(initial_settings.name.get())
  , memory(resources.memory_bytes,
           [this] { boost::asio::post(context, [this] { memory.enforce(); }); })
  , caller_places(resources.callers)
  , known_state({ initial_settings.key_revocation_limit - key_evidence_margin,
                  primary_use_limit,
                  commit_answer_limit },
                initial_settings.evacuation_limit,
                initial_settings.replaces_primaries)
  , limiter(initial_settings.tolerance)
  , operations(
      limiter,
      [this] { fleet.request_tokens(); },
      [this](const token_wait& wait) {
        metrics->record_token_wait(wait);
        token_waits.record(wait);
      })
  , pool({ [this](const pooled_connection& pooled, const listed_member& member) {
            open_connection(pooled, member);
          },
           [this](connection_number number) { close_connection(number); },
           [this](const std::string& group) { return known_state.primary_of(group, boot_now()); } },
         initial_settings.zone)
  , fleet(context,
          settings,
          known_state,
          positions,
          limiter,
          log,
          { [this] { apply_fleet_changes(); },
            [this] { return reachability(); },
            [this] { return operations.waiting_counts(); },
            [this] { operations.on_tokens_granted(boot_now()); },
            [this] { apply_plan_change(); },
            [this](std::uint64_t token, const std::string& address) {
              relay_listener->send_coordinator(token, address);
            },
            [this] { return session_reference.use_count() > 1; },
            [this](std::string_view origin,
                   const instance_id& sender,
                   const std::string& group,
                   const timed_position& observed,
                   observation_outcome outcome) {
              record_observation(origin, sender, group, observed, outcome);
            } })
  , router(context,
           settings.name,
           settings.zone,
           log,
           { [this](const std::string& first_line) { return routing_key_of(first_line); },
             [this](std::uint64_t version) { raise_shown_version(version); },
             [this](std::uint64_t token, const std::string& address) {
               fleet.update_coordinator(fencing_token(token), address);
             },
             [this](std::function<void()> end) { return open_account(std::move(end)); } })
  , acceptor(context)
  , timer(context)
  , accept_timer(context)
  , signals(context)
{
}

result<void>
proxy_node::state::listen()
{
  boost::system::error_code failure;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(settings.callers.address, failure),
                               settings.callers.port);
  acceptor.open(endpoint.protocol(), failure);
  acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  // Accepted sockets inherit the sizes. The window of a connection depends on them from its begin.
  acceptor.set_option(
    boost::asio::socket_base::receive_buffer_size(static_cast<int>(resources.receive_buffer_bytes)),
    failure);
  acceptor.set_option(boost::asio::socket_base::send_buffer_size(send_buffer_bytes), failure);
  acceptor.bind(endpoint, failure);
  if (!failure) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(result_code::address_unavailable,
                format_address(settings.callers) + ": " + failure.message());
  }
  auto options =
    http_options("readiness", settings.readiness, resources.readiness, resources.probe_bytes);
  BOOST_OUTCOME_TRY(
    readiness,
    http_server::create(
      context,
      options,
      [this](accepted_number, const http_request&, const http_server::responder& send) {
        http_response response;
        response.status = ready() ? 200 : 503;
        send(std::move(response));
      }));
  BOOST_OUTCOME_TRY(
    metrics,
    node_metrics::create(
      context,
      http_options("metrics", settings.metrics, resources.metrics, resources.probe_bytes),
      [this] { return sample(); }));
  BOOST_OUTCOME_TRY(
    relay_listener,
    relay_server::create(
      context,
      settings.relay,
      { [this](const caller_output& output) { return run_session(output, true); },
        [this](const std::string& first_line) { return redirect_key(first_line); },
        [this](std::uint64_t version) { raise_shown_version(version); },
        [this] { return known_state.configuration().configuration().version.get(); },
        [this](std::string_view line, const std::string& what) { log_session_failure(line, what); },
        [this](std::function<void()> end) { return open_account(std::move(end)); },
        [this](std::string_view cause) { record_limit("relay", cause); },
        resources.relays }));
  log.set_event_counter([this](const std::string& event) { metrics->count_log_event(event); });
  auto peer_options = http_options("peer", settings.peers, resources.peers, resources.peer_bytes);
  // Views of the whole fleet are larger than a probe.
  peer_options.body_limit_bytes = http_server_options().body_limit_bytes;
  return fleet.start(peer_options);
}

bool
proxy_node::state::ready() const
{
  if (!stopping && fleet.plan().decided() && !fleet.plan().carries(settings.name)) {
    return router.can_begin_sessions();
  }
  return !stopping && fleet.plan().decided() && known_state.has_configuration() &&
         !known_state.members().empty() && !known_state.key_evidence_missing(boot_now());
}

void
proxy_node::state::start()
{
  signals.add(SIGTERM);
  signals.add(SIGHUP);
  deliver_signals();
  pool.set_drain_limit(settings.drain_limit);
  wait_for_signal();
  accept();
  tick();
  log.write("start", { { "zone", settings.zone.get() } });
}

node_metrics::sample
proxy_node::state::sample() const
{
  const auto now = boot_now();
  const auto age = [now](const std::optional<instant>& confirmed_at) {
    return confirmed_at ? std::chrono::duration<double>(now - *confirmed_at).count() : -1.0;
  };
  node_metrics::sample current;
  current.callers = static_cast<double>(callers.size());
  current.connections = static_cast<double>(pool.connection_count());
  current.waiting = static_cast<double>(pool.waiting_count());
  current.instances = fleet.live_instances();
  current.is_coordinator = fleet.is_coordinator() ? 1 : 0;
  current.configuration_version =
    static_cast<double>(known_state.configuration().configuration().version.get());
  current.configuration_age = age(known_state.configuration_confirmed_at());
  current.groups_age = age(known_state.groups_confirmed_at());
  current.unusable_member_rows = static_cast<double>(fleet.unusable_member_rows());
  const auto& evacuated = known_state.evacuations().zones();
  current.evacuated_zones = static_cast<double>(evacuated.size());
  for (const auto& zone : evacuated) {
    current.evacuated_connections += static_cast<double>(pool.connections_to(zone));
  }
  current.store_era = static_cast<double>(fleet.known_era().get());
  current.store_calls = static_cast<double>(fleet.store_calls());
  current.log_lines_dropped = static_cast<double>(log.dropped());
  for (const auto& [priority, count] : pool.waiting_by_class()) {
    current.waiting_by_class[name_of(priority)] += static_cast<double>(count);
  }
  for (const auto& [cause, count] : pool.refusals()) {
    current.refusals[std::string(name_of(cause))] = static_cast<double>(count);
  }
  current.held_bytes = static_cast<double>(memory.used_bytes());
  current.held_bytes_limit = static_cast<double>(memory.limit_bytes());
  current.caller_limit = static_cast<double>(caller_places.limit());
  return current;
}

// How long the member has sent no answer while a statement waits for one.
duration
proxy_node::state::unanswered_time(const member_id& member, instant now) const
{
  const auto answered = last_answers.find(member);
  duration longest{};
  for (const auto& [number, connection] : connections) {
    const auto waiting = connection->oldest_pending_since();
    if (!waiting || connection->member() != member.get()) {
      continue;
    }
    const auto since =
      answered == last_answers.end() ? *waiting : std::max(*waiting, answered->second);
    longest = std::max(longest, std::chrono::duration_cast<duration>(now - since));
  }
  return longest;
}

// Validates the settings file again. A running process keeps the settings it started with, and
// changes take effect at the next start.
void
proxy_node::state::reload()
{
  const auto next = load_node_settings(settings.path);
  if (!next) {
    log.write("reload_refused", { { "reason", next.error().message } });
    return;
  }
  const bool same = next.value() == settings;
  log.write("reload",
            { { "settings", same ? "unchanged" : "changed, takes effect at the next start" } });
}

// Logs that an unexpected error ended a session. The message itself is not logged, because the
// first one of a session contains the API key.
void
proxy_node::state::log_session_failure(std::string_view line, const std::string& what)
{
  const auto message = platform::parse_caller_message(line);
  const bool is_statement = message && message.value();
  log.write(
    "session_failed",
    { { "request", is_statement ? message.value()->id : std::string() }, { "reason", what } });
}

void
proxy_node::state::wait_for_signal()
{
  signals.async_wait([this](const boost::system::error_code& cancelled, int number) {
    if (cancelled) {
      return;
    }
    if (number == SIGTERM && !stopping) {
      stop();
    } else if (number == SIGHUP) {
      reload();
    }
    wait_for_signal();
  });
}

void
proxy_node::state::apply_fleet_changes()
{
  const auto now = boot_now();
  raise_shown_version(known_state.configuration().configuration().version.get());
  const auto& configuration = known_state.configuration().configuration();
  const std::pair versions(fleet.plan().version, configuration.version);
  if (std::exchange(limited_for, versions) != versions) {
    set_connection_limits();
  }
  // First, so that no request is granted a connection that its session must not use.
  apply_evacuations(now);
  pool.set_members(known_state.members(), now);
}

void
proxy_node::state::apply_evacuations(instant now)
{
  const auto& zones = known_state.evacuations().zones();
  for (const auto& zone : zones) {
    if (!pool.evacuated_zones().contains(zone)) {
      emptying_zones.insert(zone);
    }
  }
  std::erase_if(emptying_zones, [&](const zone_id& zone) { return !zones.contains(zone); });
  pool.set_evacuated_zones(zones, now);
}

// Logs each evacuated zone to which the last connection was closed.
void
proxy_node::state::log_emptied_zones()
{
  std::erase_if(emptying_zones, [this](const zone_id& zone) {
    if (pool.connections_to(zone) > 0) {
      return false;
    }
    log.write("zone_empty", { { "zone", zone.get() } });
    return true;
  });
}

void
proxy_node::state::set_connection_limits()
{
  const auto& configuration = known_state.configuration().configuration();
  for (const auto& group : configuration.groups) {
    if (fleet.plan().decided() && group.max_connections > 0) {
      const auto limits = connection_limits(fleet.plan(), group, configuration.workspaces);
      const auto own = limits.find(settings.name);
      pool.set_connection_limit(group.name, own == limits.end() ? 1 : own->second);
    }
  }
}

std::vector<member_reachability>
proxy_node::state::reachability() const
{
  const auto now = boot_now();
  std::vector<member_reachability> reachabilities;
  for (const auto& group : known_state.configuration().configuration().groups) {
    const auto primary = known_state.primary_of(group.name, now);
    if (!primary) {
      continue;
    }
    const auto failing = pool.failing_since(primary->member);
    if (failing) {
      reachabilities.push_back({ primary->member, now - *failing });
    } else if (pool.is_connected_to(primary->member)) {
      reachabilities.push_back({ primary->member, unanswered_time(primary->member, now) });
    }
  }
  return reachabilities;
}

void
proxy_node::state::tick()
{
  const auto now = boot_now();
  fleet.tick(now);
  operations.tick(now);
  pool.tick(now);
  log_emptied_zones();
  router.tick(now);
  relay_listener->tick(now);
  const auto current = callers;
  for (const auto& caller : current) {
    caller->tick(now);
  }
  close_misplaced_session(now);
  log_read_positions(now);
  log_token_waits(now);
  if (stopping) {
    drain(now);
  }
  timer.expires_after(tick_period);
  timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      tick();
    }
  });
}

void
proxy_node::state::stop()
{
  stopping = true;
  stop_began_at = boot_now();
  fleet.leave();
  router.set_stopping();
  relay_listener->announce_leaving();
  log.write("stop",
            { { "callers", std::to_string(callers.size()) },
              { "relayed", std::to_string(relay_listener->session_count()) } });
}

// Closes sessions that have no statement in flight, at first only those without an open
// transaction. Answers what is still in flight shortly before the grace period is over. Ends the
// process when no session remains and all answers were sent, or when the grace period is over.
void
proxy_node::state::drain(instant now)
{
  const auto elapsed = now - stop_began_at;
  if (elapsed < drain_delay) {
    return;
  }
  const bool include_transactions = elapsed > settings.stop_grace / 2 + transaction_drain_delay;
  const bool give_up = elapsed > settings.stop_grace - exit_margin - final_answers_time;
  const auto current = callers;
  for (const auto& caller : current) {
    if (give_up) {
      caller->give_up();
    } else {
      caller->close_if_inactive(include_transactions);
    }
  }
  if (give_up) {
    relay_listener->give_up();
  } else if (include_transactions) {
    relay_listener->close_inactive_sessions(true);
  }
  const bool finished =
    callers.empty() && relay_listener->session_count() == 0 && relay_listener->flushed();
  if (finished || elapsed > settings.stop_grace - exit_margin) {
    log.write("stopped", { { "callers", std::to_string(callers.size()) } });
    context.stop();
  }
}

result<std::unique_ptr<proxy_node>>
proxy_node::create(const node_settings& settings)
{
  auto owned = std::make_unique<state>(settings);
  BOOST_OUTCOME_TRYV(owned->listen());
  return std::unique_ptr<proxy_node>(new proxy_node(std::move(owned)));
}

proxy_node::proxy_node(std::unique_ptr<state> owned)
  : state_(std::move(owned))
{
}

proxy_node::~proxy_node() = default;

result<void>
proxy_node::run()
{
  state_->start();
  // Exceptions of single messages and sessions are handled where they are received. Any other one
  // may have left this instance's state inconsistent, so the process ends and starts anew.
  if (const auto failure = guarded_call([this] { state_->context.run(); })) {
    state_->log.write("unexpected_error", { { "reason", *failure } });
    return fail(result_code::internal_error, *failure);
  }
  return success();
}

}
