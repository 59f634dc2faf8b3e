#include "Account/monthly_account.h"

#include "Base/json_fields.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// True for counters that appear in the account. `admitted` and `ended` are for bounds only.
bool
is_reported(std::string_view counter)
{
  return counter != usage_counter::admitted && counter != usage_counter::ended;
}

json::object
write_counters(const usage_counters& counters)
{
  json::object workspaces;
  for (const auto& [workspace, values] : counters) {
    json::object object;
    for (const auto& [name, value] : values) {
      object[name] = value;
    }
    workspaces[workspace.get()] = std::move(object);
  }
  return workspaces;
}

json::array
write_bounds(const std::vector<incarnation_bound>& bounds)
{
  json::array list;
  for (const auto& [incarnation, bound] : bounds) {
    list.push_back(json::object{ { "incarnation", incarnation },
                                 { "workspace", bound.workspace.get() },
                                 { "amount", bound.amount },
                                 { "cause", bound.cause } });
  }
  return list;
}

// Reads the fields that accounts and adjustments have in common. "workspaces" has the format of a
// usage row and is parsed as one. Returns false if a field is missing or malformed.
bool
read_counters_and_bounds(json_fields& fields,
                         usage_counters& counters,
                         std::vector<incarnation_bound>& bounds)
{
  const auto* workspaces = fields.find("workspaces");
  const auto* list = fields.find("bounds");
  if (workspaces == nullptr || list == nullptr || !list->is_array()) {
    return false;
  }
  const json::object plain{ { "workspaces", *workspaces }, { "bounds", json::array() } };
  const auto row = usage_row::parse(json::serialize(plain));
  if (!row) {
    return false;
  }
  counters = row.value().counters();
  for (const auto& item : list->as_array()) {
    auto bound = json_fields::create(item, "account.bounds[]", result_code::malformed_answer);
    if (!bound) {
      return false;
    }
    auto incarnation = bound.value().text("incarnation");
    auto workspace = bound.value().text("workspace");
    const auto amount = bound.value().integer("amount", 0, INT64_MAX);
    auto cause = bound.value().text("cause");
    if (!incarnation || !workspace || !amount || !cause) {
      return false;
    }
    bounds.push_back({ std::move(incarnation).value(),
                       { workspace_id(std::move(workspace).value()),
                         static_cast<std::uint64_t>(amount.value()),
                         std::move(cause).value() } });
  }
  return true;
}

error
malformed(const std::string& message)
{
  return { result_code::malformed_answer, message };
}

// Subtracts the counters that earlier accounts include. Counters that reach 0 are removed.
void
subtract(usage_counters& counters, const usage_counters& accounted)
{
  for (const auto& [workspace, values] : accounted) {
    const auto found = counters.find(workspace);
    if (found == counters.end()) {
      continue;
    }
    for (const auto& [name, value] : values) {
      const auto counter = found->second.find(name);
      if (counter == found->second.end()) {
        continue;
      }
      counter->second -= std::min(counter->second, value);
      if (counter->second == 0) {
        found->second.erase(counter);
      }
    }
    if (found->second.empty()) {
      counters.erase(found);
    }
  }
}

// Removes the bounds that earlier accounts include.
void
remove_accounted(std::vector<incarnation_bound>& bounds,
                 const std::vector<incarnation_bound>& accounted)
{
  std::erase_if(bounds, [&](const incarnation_bound& bound) {
    return std::find(accounted.begin(), accounted.end(), bound) != accounted.end();
  });
}

}

std::string
monthly_account::key(const calendar_month& month)
{
  return "account/" + month.text();
}

result<void>
monthly_account::add_rows(const std::vector<table_row>& rows)
{
  for (const auto& row : rows) {
    const auto parsed = usage_row::parse(row.value);
    if (!parsed) {
      return malformed(row.key + ": " + parsed.error().message);
    }
    const std::string incarnation(usage_row::incarnation_text(row.key));
    for (const auto& [workspace, counters] : parsed.value().counters()) {
      for (const auto& [name, value] : counters) {
        if (is_reported(name) && value > 0) {
          counters_[workspace][name] += value;
        }
      }
    }
    for (const auto& bound : parsed.value().bounds()) {
      bounds_.push_back({ incarnation, bound });
    }
    if (!parsed.value().closed() && parsed.value().bounds().empty()) {
      unfinished_.push_back(incarnation);
    }
  }
  std::sort(bounds_.begin(), bounds_.end());
  std::sort(unfinished_.begin(), unfinished_.end());
  return success();
}

result<account_adjustment>
monthly_account::compute_adjustment(const month_rows& late)
{
  monthly_account current(late.month);
  const auto added = current.add_rows(late.rows);
  if (!added) {
    return added.error();
  }
  account_adjustment adjustment{ late.month, current.counters_, current.bounds_ };
  for (const auto& account : late.closed_accounts) {
    if (account.month_ == late.month) {
      subtract(adjustment.counters, account.counters_);
      remove_accounted(adjustment.bounds, account.bounds_);
    }
    for (const auto& previous : account.adjustments_) {
      if (previous.month == late.month) {
        subtract(adjustment.counters, previous.counters);
        remove_accounted(adjustment.bounds, previous.bounds);
      }
    }
  }
  return adjustment;
}

result<monthly_account>
monthly_account::build(const calendar_month& month,
                       const std::vector<table_row>& rows,
                       const std::vector<month_rows>& earlier)
{
  monthly_account account(month);
  const auto added = account.add_rows(rows);
  if (!added) {
    return added.error();
  }
  for (const auto& late : earlier) {
    auto adjustment = compute_adjustment(late);
    if (!adjustment) {
      return adjustment.error();
    }
    if (!adjustment.value().counters.empty() || !adjustment.value().bounds.empty()) {
      account.adjustments_.push_back(std::move(adjustment).value());
    }
  }
  std::sort(account.adjustments_.begin(),
            account.adjustments_.end(),
            [](const auto& left, const auto& right) { return left.month < right.month; });
  return account;
}

result<monthly_account>
monthly_account::parse(std::string_view text)
{
  const auto parsed = parse_json(text, result_code::malformed_answer);
  if (!parsed) {
    return parsed.error();
  }
  auto fields = json_fields::create(parsed.value(), "account", result_code::malformed_answer);
  if (!fields) {
    return fields.error();
  }
  const auto name = fields.value().text("month");
  const auto month = calendar_month::parse(name ? name.value() : "");
  if (!month) {
    return malformed("account.month: " + month.error().message);
  }
  monthly_account account(month.value());
  const auto* unfinished = fields.value().find("unfinished");
  const auto* adjustments = fields.value().find("adjustments");
  if (!read_counters_and_bounds(fields.value(), account.counters_, account.bounds_) ||
      unfinished == nullptr || !unfinished->is_array() || adjustments == nullptr ||
      !adjustments->is_array()) {
    return malformed("account " + name.value() + ": expected workspaces, bounds, unfinished and " +
                     "adjustments");
  }
  for (const auto& item : unfinished->as_array()) {
    account.unfinished_.emplace_back(item.is_string() ? std::string(item.as_string()) : "");
  }
  for (const auto& item : adjustments->as_array()) {
    auto parts = json_fields::create(item, "account.adjustments[]", result_code::malformed_answer);
    if (!parts) {
      return parts.error();
    }
    const auto late_name = parts.value().text("month");
    const auto late = calendar_month::parse(late_name ? late_name.value() : "");
    if (!late) {
      return malformed("account.adjustments[].month: " + late.error().message);
    }
    account_adjustment adjustment{ late.value(), {}, {} };
    if (!read_counters_and_bounds(parts.value(), adjustment.counters, adjustment.bounds)) {
      return malformed("account.adjustments[]: expected workspaces and bounds");
    }
    account.adjustments_.push_back(std::move(adjustment));
  }
  return account;
}

std::string
monthly_account::to_json() const
{
  json::array unfinished;
  for (const auto& incarnation : unfinished_) {
    unfinished.emplace_back(incarnation);
  }
  json::array adjustments;
  for (const auto& adjustment : adjustments_) {
    adjustments.push_back(json::object{ { "month", adjustment.month.text() },
                                        { "workspaces", write_counters(adjustment.counters) },
                                        { "bounds", write_bounds(adjustment.bounds) } });
  }
  return json::serialize(json::object{ { "month", month_.text() },
                                       { "workspaces", write_counters(counters_) },
                                       { "bounds", write_bounds(bounds_) },
                                       { "unfinished", std::move(unfinished) },
                                       { "adjustments", std::move(adjustments) } });
}

}
