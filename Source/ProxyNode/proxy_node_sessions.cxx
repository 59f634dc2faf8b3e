#include "ProxyNode/proxy_node_state.h"

#include "Proxy/position_exchange.h"
#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Covers one round trip and the member's connection set-up, which waits for a free slot.
constexpr duration connect_timeout = std::chrono::milliseconds(450);
// Evidence for relayed sessions expires this long before the limit for applying a configuration.
constexpr duration relay_evidence_margin = std::chrono::milliseconds(250);
// Interval between two lines about the positions of one group.
constexpr duration position_line_period = std::chrono::seconds(1);
// Interval between two lines about the waits for tokens of one workspace.
constexpr duration token_wait_line_period = std::chrono::seconds(1);
// Waits up to this long are usual below the rate: one answer of the coordinator.
constexpr duration usual_token_wait = std::chrono::milliseconds(60);
// Bounds the length of a line; names of workspaces are shorter.
constexpr std::size_t max_logged_name_bytes = 128;
// Interval between two checks of the local sessions' placement.
constexpr duration placement_check_period = std::chrono::milliseconds(100);

}

session_hooks
proxy_node::state::hooks_for_session()
{
  session_hooks hooks;
  hooks.configuration = [this]() -> const configuration_index& {
    return known_state.configuration();
  };
  hooks.key_evidence_missing = [this] { return known_state.key_evidence_missing(boot_now()); };
  hooks.admit = [this](const workspace_id& workspace,
                       const operation_urgency& urgency,
                       admission::handler done) {
    return operations.admit(workspace, std::move(done), boot_now(), urgency);
  };
  hooks.operation_ran = [this](std::uint32_t priority, duration elapsed) {
    operations.record_run_time(priority, elapsed);
  };
  hooks.cancel_admission = [this](admission_number number) {
    operations.cancel(number, boot_now());
  };
  hooks.acquire = [this](connection_request request,
                         connection_pool::grant_handler granted,
                         connection_pool::refuse_handler refused) {
    return pool.acquire(std::move(request), std::move(granted), std::move(refused), boot_now());
  };
  hooks.cancel = [this](request_number request) { pool.cancel(request); };
  hooks.release = [this](connection_number number, duration elapsed) {
    pool.release(number, elapsed, boot_now());
  };
  hooks.send = [this](connection_number number,
                      const member_command& command,
                      std::function<void(member_reply)> done) {
    const auto found = connections.find(number);
    if (found == connections.end()) {
      boost::asio::post(context, [done = std::move(done)] { done({ .lost = true }); });
      return;
    }
    found->second->send(command,
                        [this,
                         member = member_id(found->second->member()),
                         kind = command.kind,
                         done = std::move(done)](member_reply reply) {
                          metrics->count_member_answer(kind, reply);
                          if (!reply.lost && !reply.unsent) {
                            last_answers[member] = reply.received;
                          }
                          done(std::move(reply));
                        });
  };
  hooks.close_connection = [this](connection_number number) {
    close_connection(number);
    pool.on_connection_closed(number, false, boot_now());
  };
  hooks.primary_of = [this](const std::string& group) {
    return known_state.primary_of(group, boot_now());
  };
  hooks.commit_is_valid = [this](const std::string& group, const member_id& member) {
    return known_state.commit_is_valid(group, member, boot_now());
  };
  hooks.position_for_staleness = [this](const std::string& group, duration bound) {
    const auto now = boot_now();
    auto given = positions.position_for(group, bound, now);
    read_positions.record(group, given, now);
    return given;
  };
  hooks.observe_lag = [this](const member_id& member, bool lagging) {
    if (lagging) {
      pool.record_lag(member, boot_now());
    } else {
      pool.clear_lag(member);
    }
  };
  hooks.observe_position = [this](const std::string& group,
                                  const member_id& member,
                                  const log_point& position,
                                  instant sent) {
    observe_answer(group,
                   { position, sent, { member, settings.name } },
                   known_state,
                   positions,
                   boot_now(),
                   [this](const std::string& answering_group,
                          const timed_position& observed,
                          observation_outcome outcome) {
                     record_observation(
                       "answer", settings.name, answering_group, observed, outcome);
                   });
  };
  hooks.evacuation_of = [this](const zone_id& zone) {
    return known_state.evacuations().deadlines(zone);
  };
  hooks.now = [] { return boot_now(); };
  hooks.log = [this](const std::string& event, const std::string& id, const std::string& detail) {
    log.write(event, { { "request", id }, { "detail", detail } });
  };
  return hooks;
}

void
proxy_node::state::record_observation(std::string_view origin,
                                      const instance_id& sender,
                                      const std::string& group,
                                      const timed_position& observed,
                                      observation_outcome outcome)
{
  metrics->count_position(origin, outcome);
  const auto now = boot_now();
  if (outcome != observation_outcome::impossible || now < next_impossible_position_line[group]) {
    return;
  }
  next_impossible_position_line[group] = now + position_line_period;
  log.write("impossible_position",
            { { "group", group },
              { "origin", std::string(origin) },
              { "sender", sender.get() },
              { "detail", describe(observed, now) } });
}

// Writes a line for each workspace whose operations were refused or waited unusually long for
// tokens.
void
proxy_node::state::log_token_waits(instant now)
{
  if (now < next_token_wait_lines) {
    return;
  }
  next_token_wait_lines = now + token_wait_line_period;
  for (const auto& [workspace, entry] : token_waits.take()) {
    if (entry.refused > 0 || entry.longest_wait > usual_token_wait) {
      const auto in_ms = [](duration time) {
        return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(time).count());
      };
      log.write("token_wait",
                { { "workspace", workspace.get().substr(0, max_logged_name_bytes) },
                  { "admitted", std::to_string(entry.admitted) },
                  { "refused", std::to_string(entry.refused) },
                  { "cancelled", std::to_string(entry.cancelled) },
                  { "longest_wait_ms", in_ms(entry.longest_wait) },
                  { "longest_retry_ms", in_ms(entry.longest_retry) } });
    }
  }
}

void
proxy_node::state::log_read_positions(instant now)
{
  if (now < next_read_position_lines) {
    return;
  }
  next_read_position_lines = now + position_line_period;
  for (const auto& [group, entry] : read_positions.take()) {
    const auto primary = known_state.primary_of(group, now);
    log.write(
      "read_position",
      { { "group", group },
        { "lowest",
          entry.lowest ? describe(*entry.lowest, entry.lowest->observed_at + entry.lowest_age)
                       : "no position" },
        { "reads", std::to_string(entry.reads) },
        { "without_position", std::to_string(entry.without_position) },
        { "primary", primary ? primary->member.get() : "" },
        { "revision", std::to_string(known_state.groups_version().revision()) } });
  }
}

// The relaying instance may have contact with the store while this one has not. A relayed session
// therefore requires a configuration that was confirmed within the limit for applying changes.
std::optional<std::string>
proxy_node::state::relay_evidence_missing() const
{
  const auto now = boot_now();
  const auto confirmed_at = known_state.configuration_confirmed_at();
  if (!confirmed_at ||
      now - *confirmed_at > settings.configuration_apply_limit - relay_evidence_margin) {
    return "the configuration was not confirmed recently";
  }
  return known_state.key_evidence_missing(now);
}

session_handle
proxy_node::state::run_session(const caller_output& output, bool relayed)
{
  const auto driver = session_driver::create({
    [this, relayed] {
      auto hooks = hooks_for_session();
      if (relayed) {
        hooks.key_evidence_missing = [this] { return relay_evidence_missing(); };
      }
      return hooks;
    },
    [this] { return known_state.has_configuration(); },
    [this] { return configuration_outdated(); },
    output.write,
    output.finish,
    [this](const statement_answer& reply, duration elapsed) {
      metrics->record_answer(reply, elapsed);
    },
    [this, abort = output.abort](const std::function<void()>& end) {
      return open_account(abort ? abort : end);
    },
  });
  return { true,
           [driver, token = session_reference](std::string_view line) {
             driver->handle_line(line);
           },
           [driver](instant now) { driver->tick(now); },
           [driver] { return driver->idle(); },
           [driver] { return driver->between_statements(); },
           [driver] { driver->disconnect(); },
           [driver] { driver->give_up(); } };
}

std::optional<session_handle>
proxy_node::state::begin_session(const std::string& first_line, caller_output output)
{
  if (!fleet.plan().decided()) {
    return std::nullopt;
  }
  return router.runs_here(first_line) ? run_session(output, false)
                                      : router.begin_relayed_session(std::move(output));
}

// Sessions with the same workspace and group share a routing key, because a connection to a member
// serves one workspace.
std::optional<routing_key>
proxy_node::state::routing_key_of(const std::string& first_line) const
{
  const auto start = platform::parse_session_start(first_line);
  if (!known_state.has_configuration() || !start) {
    return std::nullopt;
  }
  const auto& configuration = known_state.configuration();
  const auto* route = configuration.route_of(database_id(start.value().database));
  const auto* workspace = configuration.workspace_of_key(start.value().key);
  if (route == nullptr) {
    return routing_key();
  }
  return routing_key{ route->group, workspace == nullptr ? workspace_id() : workspace->name };
}

std::optional<std::string>
proxy_node::state::redirect_key(const std::string& first_line) const
{
  const auto key = routing_key_of(first_line);
  if (!key || key->group.empty() || !fleet.plan().decided()) {
    return std::nullopt;
  }
  const auto assigned = router.assigned_carrier(*key);
  const bool runs_elsewhere = assigned && *assigned != settings.name && !stopping;
  return runs_elsewhere ? std::optional(encode_routing_key(*key)) : std::nullopt;
}

// Closes one idle local session that should run on another carrier. The callers reconnect one after
// the other.
void
proxy_node::state::close_misplaced_session(instant now)
{
  const auto revision = router.placement_revision();
  if (revision == checked_placement || now < next_placement_check || !fleet.plan().decided() ||
      !router.placement_is_settled(now)) {
    return;
  }
  next_placement_check = now + placement_check_period;
  bool any_misplaced = false;
  const auto current = callers;
  for (const auto& caller : current) {
    if (!caller->local() || router.runs_here(caller->first_line())) {
      continue;
    }
    any_misplaced = true;
    if (caller->idle()) {
      caller->close_if_inactive(false);
      return;
    }
  }
  if (!any_misplaced) {
    checked_placement = revision;
  }
}

void
proxy_node::state::apply_plan_change()
{
  router.set_plan(fleet.plan());
  apply_fleet_changes();
}

// Effects of a version may be visible to callers from the moment this instance has it, because
// statements follow it from then on.
void
proxy_node::state::raise_shown_version(std::uint64_t version)
{
  const auto own = known_state.configuration().configuration().version.get();
  const auto highest = std::max(own, version);
  if (highest <= router.highest_version()) {
    return;
  }
  router.raise_version(highest);
  if (relay_listener) {
    relay_listener->send_version(highest);
  }
}

bool
proxy_node::state::configuration_outdated() const
{
  return known_state.configuration().configuration().version.get() < router.highest_version();
}

void
proxy_node::state::open_connection(const pooled_connection& pooled, const listed_member& member)
{
  const auto number = pooled.number;
  auto connection = member_connection::create(
    context,
    { member.address, member.group, pooled.workspace.get(), member.id.get() },
    { [this, number] { pool.on_connection_opened(number, boot_now()); },
      [this, number, id = member.id](bool too_many_connections, const std::string& reason) {
        log.write("link_closed", { { "member", id.get() }, { "reason", reason } });
        connections.erase(number);
        pool.on_connection_closed(number, too_many_connections, boot_now());
      } });
  connections.emplace(number, connection);
  // A member's answers count. Its connection is not closed for them, since it is the caller's
  // request that they belong to.
  connection->open(connect_timeout, open_account({}));
}

void
proxy_node::state::close_connection(connection_number number)
{
  const auto found = connections.find(number);
  if (found == connections.end()) {
    return;
  }
  const auto connection = found->second;
  connections.erase(found);
  connection->close();
}

}
