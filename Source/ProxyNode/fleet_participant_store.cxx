#include "ProxyNode/fleet_participant.h"

#include "ProxyNode/boot_clock.h"
#include "ProxyNode/fleet_messages.h"
#include "ProxyNode/fleet_rows.h"
#include "platform/configuration_format.h"
#include "platform/store_format.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Delay before an unlisted instance writes its row again.
constexpr duration registration_retry_delay = std::chrono::milliseconds(500);
// Interval between removals of expired instances.
constexpr duration removal_interval = std::chrono::seconds(5);
// HTTP path under which an instance serves its current configuration.
constexpr std::string_view configuration_path = "/v1/configuration";
// Limit of the unusable entries of one configuration that are logged.
constexpr std::size_t max_logged_entries = 20;
// Delay between two attempts to fetch a configuration.
constexpr duration fetch_retry_delay = std::chrono::milliseconds(50);

}

void
fleet_participant::update_configuration(const std::map<std::string, platform::store_row>& rows,
                                        const store_version& version,
                                        instant confirmed_at)
{
  note_era(version);
  // Before the configuration, so that no session begins without the set.
  update_evacuations(rows, version, confirmed_at);
  const auto row = rows.find(std::string(platform::configuration_key));
  if (row == rows.end()) {
    return;
  }
  apply_configuration(
    row->second.value, [confirmed_at](config_version) { return confirmed_at; }, "store");
}

void
fleet_participant::apply_configuration(const std::string& text,
                                       const configuration_dater& confirmed_at,
                                       const std::string& source)
{
  auto parsed = platform::parse_configuration(text);
  if (!parsed) {
    log_.write("configuration_unreadable", { { "reason", parsed.error().message } });
    return;
  }
  const auto version = parsed.value().version;
  const auto previous_version = fleet_state_.configuration().configuration().version;
  const auto date = confirmed_at(version);
  if (!date) {
    log_.write("configuration_undated", { { "version", std::to_string(version.get()) } });
    return;
  }
  if (!fleet_state_.update_configuration(std::move(parsed.value()), *date)) {
    log_.write("configuration_older", { { "version", std::to_string(version.get()) } });
    return;
  }
  if (version != previous_version) {
    configuration_text_ = text;
    log_.write("configuration",
               { { "version", std::to_string(version.get()) }, { "source", source } });
    log_unusable_entries();
    limiter_.set_workspaces(fleet_state_.configuration().configuration().workspaces, boot_now());
    hooks_.changed();
    if (coordinator_) {
      coordinator_->send_views();
    }
  }
  select_data_sources(boot_now());
}

void
fleet_participant::log_unusable_entries()
{
  const auto& reasons = fleet_state_.configuration().configuration().unusable_entries;
  for (std::size_t i = 0; i < std::min(reasons.size(), max_logged_entries); ++i) {
    log_.write("configuration_entry_unusable", { { "reason", reasons[i] } });
  }
  if (reasons.size() > max_logged_entries) {
    log_.write("configuration_entry_unusable",
               { { "reason", std::to_string(reasons.size() - max_logged_entries) + " more" } });
  }
}

// Fetches the version that the newest view named from the coordinator, which has read it from the
// store. This also supplies instances whose calls the store rejects.
void
fleet_participant::fetch_configuration(instant now)
{
  const auto current = fleet_state_.configuration().configuration().version;
  if (!configuration_fetch_.is_due(current) || !runs_sessions() || coordinator_ ||
      now < next_fetch_at_ || coordinator_address_.empty()) {
    return;
  }
  if (coordinator_client_address_ != coordinator_address_) {
    tcp_address address;
    if (!parse_address(coordinator_address_, address)) {
      return;
    }
    coordinator_client_address_ = coordinator_address_;
    coordinator_client_ = std::make_unique<api_client>(context_, address);
  }
  configuration_fetch_.begin();
  next_fetch_at_ = now + fetch_retry_delay;
  coordinator_client_->get(
    std::string(configuration_path), write_timeout, [this](const api_reply& reply) {
      if (reply.status == platform::status_ok) {
        apply_configuration(
          reply.body,
          [this](config_version fetched) {
            const auto date = configuration_fetch_.finish(fetched);
            // Nothing newer than the present version existed when that one was confirmed.
            return date ? date : fleet_state_.configuration_confirmed_at();
          },
          "coordinator");
      }
      // Nothing was finished if the body cannot be read.
      configuration_fetch_.fail();
      if (reply.status != platform::status_ok) {
        log_.write("configuration_fetch_failed", { { "status", std::to_string(reply.status) } });
      }
    });
}

void
fleet_participant::serve_peer_request(const http_request& request,
                                      const http_server::responder& send) const
{
  http_response response;
  if (request.method == "GET" && request.target == configuration_path &&
      !configuration_text_.empty()) {
    response.body = configuration_text_;
  } else {
    response.status = 404;
  }
  send(std::move(response));
}

void
fleet_participant::update_members(const std::map<std::string, platform::store_row>& rows,
                                  instant confirmed_at)
{
  auto list = member_list_reader_.read(rows);
  for (const auto& reason : list.new_problems) {
    log_.write("member_unreadable", { { "reason", reason } });
  }
  const auto digest = digest_of(list.members);
  if (!fleet_state_.update_members(std::move(list.members), confirmed_at)) {
    return;
  }
  if (digest != members_digest_) {
    members_digest_ = digest;
    log_.write("members", { { "count", std::to_string(fleet_state_.members().size()) } });
    hooks_.changed();
    if (coordinator_) {
      coordinator_->send_views();
    }
  }
}

void
fleet_participant::update_fleet(const std::map<std::string, platform::store_row>& rows,
                                const store_version& version,
                                instant confirmed_at)
{
  const auto now = boot_now();
  note_era(version);
  store_contact_.record_contact(now);
  fleet_table_read_at_ = now;
  std::optional<coordinator_row> holder;
  store_version holder_version(version.era(), 0);
  std::vector<group_record> groups;
  std::map<instance_id, incarnation_id> registered;
  for (const auto& [key, row] : rows) {
    if (key == coordinator_key) {
      if (auto parsed = decode_coordinator(row.value)) {
        holder = std::move(parsed.value());
      } else {
        log_.write("row_unreadable", { { "key", key }, { "reason", parsed.error().message } });
      }
      holder_version = row.version;
    } else if (key.starts_with(group_key_prefix)) {
      if (auto parsed = decode_group(row.value)) {
        groups.push_back(std::move(parsed.value()));
      } else {
        log_.write("row_unreadable", { { "key", key }, { "reason", parsed.error().message } });
      }
    } else if (key == plan_key) {
      if (auto parsed = decode_plan(row.value)) {
        update_plan(parsed.value(), "store");
      } else {
        log_.write("row_unreadable", { { "key", key }, { "reason", parsed.error().message } });
      }
    } else if (key.starts_with(instance_key_prefix)) {
      if (auto parsed = decode_instance(row.value)) {
        registered[instance_id(key.substr(instance_key_prefix.size()))] = parsed.value();
      } else {
        log_.write("row_unreadable", { { "key", key }, { "reason", parsed.error().message } });
      }
    }
  }
  registered_instances_ = registered;
  const auto own = registered.find(settings_.name);
  const bool listed = own != registered.end() && own->second == incarnation_;
  const bool uses_evidence = listed || (coordinator_ && !is_carrier());
  // The records are applied before the lease is claimed on the row that was read with them, so a
  // new coordinator knows all of them.
  const auto previous_groups = fleet_state_.groups();
  fleet_state_.update_groups(
    groups, version, uses_evidence ? std::optional(confirmed_at) : std::nullopt);
  if (previous_groups != fleet_state_.groups()) {
    hooks_.changed();
    if (uses_evidence) {
      send_report(now);
    }
  }
  if (!uses_evidence && is_carrier()) {
    register_self(now);
  }
  lease_.observe(holder, holder_version, confirmed_at, now);
  if (holder && holder->token > follower_.min_token()) {
    follower_.raise_min_token(holder->token);
    if (coordinator_ && holder->holder != settings_.name) {
      retire_coordinator(now);
    }
  }
  if (holder && !holder->holder.get().empty() && !coordinator_ &&
      coordinator_address_ != holder->address) {
    coordinator_address_ = holder->address;
    send_report(now);
  }
  if (coordinator_) {
    coordinator_->set_registered_instances(registered_instances_);
  }
}

void
fleet_participant::register_self(instant now)
{
  if (now - last_registration_at_ < registration_retry_delay) {
    return;
  }
  last_registration_at_ = now;
  platform::store_write row;
  row.table = fleet_table;
  row.key = std::string(instance_key_prefix) + settings_.name.get();
  row.value = encode_instance(incarnation_);
  store_.post(platform::write_target,
              platform::encode_put(row),
              write_timeout,
              [this](const api_reply& reply) {
                log_.write("registered", { { "status", std::to_string(reply.status) } });
                fleet_watcher_.poll_now();
              });
}

void
fleet_participant::unregister_expired(instant now)
{
  if (now - last_removal_at_ < removal_interval) {
    return;
  }
  last_removal_at_ = now;
  std::vector<std::string> keys;
  for (const auto& instance : coordinator_->expired_instances()) {
    keys.push_back(std::string(instance_key_prefix) + instance.get());
  }
  if (keys.empty()) {
    return;
  }
  store_.post(platform::write_target,
              platform::encode_remove(fleet_table, keys),
              write_timeout,
              [this, count = keys.size()](const api_reply& reply) {
                log_.write("unregistered",
                           { { "instances", std::to_string(count) },
                             { "status", std::to_string(reply.status) } });
              });
}

}
