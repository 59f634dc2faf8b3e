#include "Engine/status_report.h"

#include <boost/json/array.hpp>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

std::int64_t
milliseconds(duration amount)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(amount).count();
}

json::value
age_ms(const std::optional<instant>& at, instant now)
{
  return at ? json::value(milliseconds(now - *at)) : json::value();
}

json::object
describe_home(const home_stats& stats)
{
  return { { "queued", stats.queued },
           { "slots", stats.slots },
           { "slots_used", stats.slots_used },
           { "connections", stats.connections },
           { "transactions", stats.transactions },
           { "replicating", stats.replicating },
           { "member_down", stats.member_down } };
}

json::object
describe_member(const member_config& member, const group_view* view, instant now)
{
  json::object body{ { "member", member.id.get() },
                     { "zone", member.zone.get() },
                     { "address", member.address } };
  const auto* state = view == nullptr ? nullptr : view->find(member.id);
  if (state == nullptr) {
    return body;
  }
  body["promised_term"] = state->promised.get();
  body["claims_primary"] = state->primary;
  body["leaving"] = state->leaving;
  body["last_term"] = state->log.last().in_term.get();
  body["position"] = state->log.last().position.get();
  body["heard_ms_ago"] = milliseconds(now - state->last_contact);
  const auto age = view->age(member.id, now);
  body["data_age_ms"] = age ? json::value(milliseconds(*age)) : json::value();
  return body;
}

}

json::object
describe_fleet(engine& target, instant now)
{
  auto& control = target.control();
  json::array instances;
  for (const auto& [name, record] : control.members().records()) {
    instances.push_back(json::object{ { "instance", name.get() },
                                      { "zone", record.entry.zone.get() },
                                      { "address", record.entry.address },
                                      { "live", control.members().is_live(name, now) },
                                      { "leaving", record.entry.leaving },
                                      { "config_version", record.entry.config_version.get() },
                                      { "key_version", record.entry.key_version.get() },
                                      { "heard_ms_ago", age_ms(record.updated_at, now) } });
  }
  const auto evidence = control.evidence().evaluate(now);
  json::object homes;
  for (const auto& [member, stats] : target.homes().stats()) {
    homes[member.get()] = describe_home(stats);
  }
  const auto& config = control.config_document().state();
  return { { "instance", target.settings().instance.get() },
           { "zone", target.settings().zone.get() },
           { "draining", target.draining() },
           { "config_version", control.config_document().version().get() },
           { "config_author", config.in_force.author },
           { "config_refused", config.refused_reason },
           { "key_version", control.key_document().version().get() },
           { "keys_accepted", evidence.reason.empty() },
           { "key_evidence_reason", evidence.reason },
           { "open_requests", target.entry().open_requests() },
           { "instances", std::move(instances) },
           { "homes", std::move(homes) } };
}

std::optional<json::object>
describe_database(engine& target, const database_id& database, instant now)
{
  auto& control = target.control();
  const auto* config = control.config().find_database(database);
  if (config == nullptr) {
    return std::nullopt;
  }
  const auto* view = target.groups().find(database);
  json::array members;
  json::object homes;
  for (const auto& member : config->members) {
    members.push_back(describe_member(member, view, now));
    homes[member.id.get()] = control.members().home_of(database, member.zone, now).get();
  }
  json::object body{ { "database", database.get() },         { "slots", config->slots },
                     { "connections", config->connections }, { "watched_here", view != nullptr },
                     { "members", std::move(members) },      { "homes", std::move(homes) } };
  if (const auto primary = target.groups().confirmed_primary(database, now)) {
    body["primary"] = primary->member.get();
    body["term"] = primary->in_term.get();
  }
  json::array events;
  for (const auto& text : target.groups().events(database)) {
    events.emplace_back(text);
  }
  body["events"] = std::move(events);
  return body;
}

std::optional<json::object>
describe_workspace(engine& target, const workspace_id& workspace, instant now)
{
  const auto* config = target.control().config().find_workspace(workspace);
  if (config == nullptr) {
    return std::nullopt;
  }
  auto& rate_limiter = target.rate_limiter();
  const auto counts = rate_limiter.counters_of(workspace);
  return json::object{ { "workspace", workspace.get() },
                       { "rate", config->rate },
                       { "burst", config->burst },
                       { "share_ppm_here", rate_limiter.share_ppm(workspace, now) },
                       { "admitted_here", counts.admitted },
                       { "borrowed_here", counts.borrowed },
                       { "refused_over_rate_here", counts.refused_over_rate },
                       { "refused_no_share_here", counts.refused_no_share } };
}

}
