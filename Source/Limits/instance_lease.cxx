#include "Limits/instance_lease.h"

#include "Base/json_fields.h"

#include <boost/json/serialize.hpp>

#include <optional>
#include <string>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// Largest renewal counter that is accepted in a lease row.
constexpr std::int64_t max_counter = 1LL << 60;

struct lease_row
{
  std::string incarnation;
  std::int64_t counter = 0;
};

// Empty if the text is not a valid lease row, such as when the row does not exist yet.
std::optional<lease_row>
parse_lease(const std::string& text)
{
  const auto value = parse_json(text, result_code::malformed_answer);
  if (!value) {
    return std::nullopt;
  }
  auto fields = json_fields::create(value.value(), "lease row", result_code::malformed_answer);
  if (!fields) {
    return std::nullopt;
  }
  auto incarnation = fields.value().text("incarnation");
  auto counter = fields.value().integer("counter", 0, max_counter);
  if (!incarnation || !counter) {
    return std::nullopt;
  }
  return lease_row{ std::move(incarnation).value(), counter.value() };
}

}

instance_lease::instance_lease(instance_id self,
                               incarnation_id incarnation,
                               const share_settings& settings,
                               table_hooks table,
                               std::function<instant()> now)
  : self_(std::move(self))
  , incarnation_(incarnation)
  , settings_(settings)
  , table_(std::move(table))
  , now_(std::move(now))
  , lifetime_(std::make_shared<instance_lease*>(this))
{
}

std::string
instance_lease::key(const instance_id& instance)
{
  return "lease/" + instance.get();
}

void
instance_lease::tick(instant now)
{
  if (superseded_) {
    return;
  }
  if (in_flight_ && now - sent_ >= settings_.call_timeout) {
    in_flight_ = false;
    revision_known_ = false;
    due_ = now;
  }
  if (in_flight_ || now < due_) {
    return;
  }
  if (revision_known_) {
    renew(now);
  } else {
    read(now);
  }
}

void
instance_lease::read(instant now)
{
  in_flight_ = true;
  sent_ = now;
  const auto call = ++latest_call_;
  table_.get(key(self_),
             [this, call, lifetime = std::weak_ptr(lifetime_)](const result<table_row>& answer) {
               if (lifetime.expired() || call != latest_call_) {
                 return;
               }
               in_flight_ = false;
               if (!answer) {
                 due_ = now_() + settings_.retry_interval;
                 return;
               }
               apply_row(answer.value());
               due_ = now_();
               tick(now_());
             });
}

void
instance_lease::renew(instant now)
{
  in_flight_ = true;
  sent_ = now;
  ++counter_;
  const auto call = ++latest_call_;
  auto value = json::serialize(
    json::object{ { "incarnation", std::to_string(incarnation_.get()) }, { "counter", counter_ } });
  table_.put(key(self_),
             std::move(value),
             revision_,
             [this, call, sent = now, lifetime = std::weak_ptr(lifetime_)](
               const result<table_write>& answer) {
               if (lifetime.expired() || call != latest_call_) {
                 return;
               }
               in_flight_ = false;
               due_ = sent + settings_.renew_interval;
               if (!answer) {
                 revision_known_ = false;
                 due_ = sent + settings_.retry_interval;
                 return;
               }
               if (answer.value().written) {
                 revision_ = answer.value().row.revision;
                 written_ = true;
                 on_renewed(sent, now_());
                 return;
               }
               apply_row(answer.value().row);
               due_ = now_();
               tick(now_());
             });
}

void
instance_lease::apply_row(const table_row& row)
{
  revision_ = row.revision;
  revision_known_ = true;
  const auto found = parse_lease(row.value);
  const bool own_run = found && found->incarnation == std::to_string(incarnation_.get());
  written_ = written_ || own_run;
  // After a renewal of this run took effect, only a later run of the instance replaces it.
  superseded_ = written_ && !own_run;
}

void
instance_lease::on_renewed(instant sent, instant now)
{
  // A confirmation that arrives after the previous lease expired starts a new validity period:
  // other instances may have reclaimed the shares in between.
  if (extra_epoch_ == 0 || now >= extra_until_) {
    ++extra_epoch_;
  }
  if (base_epoch_ == 0 || now >= base_until_) {
    ++base_epoch_;
  }
  extra_until_ = sent + settings_.extra_lease;
  base_until_ = sent + settings_.base_lease;
}

}
