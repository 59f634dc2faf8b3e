#include "Limits/share_row.h"

#include "Base/json_fields.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// An incarnation is written as hexadecimal text because JSON numbers are read as signed 64-bit
// integers.
std::string
to_text(incarnation_id incarnation)
{
  char digits[17] = {};
  const auto end = std::to_chars(digits, digits + 16, incarnation.get(), 16).ptr;
  return { digits, end };
}

std::optional<incarnation_id>
parse_incarnation(std::string_view text)
{
  std::uint64_t bits = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), bits, 16);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return incarnation_id(bits);
}

bool
read_ppm(const json::value& value, std::int64_t& out)
{
  if (!value.is_int64() || value.as_int64() < 0 || value.as_int64() > ppm_total) {
    return false;
  }
  out = value.as_int64();
  return true;
}

// An entry is written as [incarnation, base, extra, shortfall]. Field names would double the size
// of the row, which every holder reads.
bool
read_entry(const json::value& value, share_entry& entry)
{
  if (!value.is_array() || value.as_array().size() != 4 || !value.as_array()[0].is_string()) {
    return false;
  }
  const auto& fields = value.as_array();
  const auto incarnation = parse_incarnation(std::string(fields[0].as_string()));
  if (!incarnation) {
    return false;
  }
  entry.incarnation = *incarnation;
  return read_ppm(fields[1], entry.base_ppm) && read_ppm(fields[2], entry.extra_ppm) &&
         read_ppm(fields[3], entry.shortfall_ppm);
}

}

std::string
share_row::key(const workspace_id& workspace)
{
  return "share/" + workspace.get();
}

result<share_row>
share_row::parse(std::string_view text)
{
  share_row row;
  if (text.empty()) {
    return row;
  }
  const auto parsed = parse_json(text, result_code::malformed_answer);
  if (!parsed) {
    return parsed.error();
  }
  auto fields = json_fields::create(parsed.value(), "share row", result_code::malformed_answer);
  if (!fields) {
    return fields.error();
  }
  const auto* holders = fields.value().find("holders");
  const auto finished = fields.value().finish();
  if (!finished) {
    return finished.error();
  }
  if (holders == nullptr || !holders->is_object()) {
    return fail(result_code::malformed_answer, "share row.holders: expected an object");
  }
  for (const auto& [name, value] : holders->as_object()) {
    share_entry entry;
    if (!read_entry(value, entry)) {
      return fail(result_code::malformed_answer,
                  "share row.holders." + std::string(name) +
                    ": expected [incarnation, base, extra, shortfall]");
    }
    row.holders_.emplace(instance_id(std::string(name)), entry);
  }
  if (row.unassigned() < 0) {
    return fail(result_code::malformed_answer,
                "share row: shares exceed one million by " + std::to_string(-row.unassigned()));
  }
  return row;
}

std::string
share_row::to_json() const
{
  json::object holders;
  for (const auto& [instance, entry] : holders_) {
    holders[instance.get()] = json::array{
      to_text(entry.incarnation), entry.base_ppm, entry.extra_ppm, entry.shortfall_ppm
    };
  }
  return json::serialize(json::object{ { "holders", std::move(holders) } });
}

const share_entry*
share_row::find(const instance_id& instance) const
{
  const auto found = holders_.find(instance);
  return found == holders_.end() ? nullptr : &found->second;
}

std::int64_t
share_row::unassigned() const
{
  auto remaining = ppm_total;
  for (const auto& [instance, entry] : holders_) {
    remaining -= entry.total();
  }
  return remaining;
}

std::int64_t
share_row::base_total() const
{
  std::int64_t sum = 0;
  for (const auto& [instance, entry] : holders_) {
    sum += entry.base_ppm;
  }
  return sum;
}

std::int64_t
share_row::shortfall_of_others(const instance_id& self) const
{
  std::int64_t sum = 0;
  for (const auto& [instance, entry] : holders_) {
    sum += instance == self ? 0 : entry.shortfall_ppm;
  }
  return sum;
}

share_entry*
share_row::find_owned(const share_owner& owner)
{
  const auto found = holders_.find(owner.instance);
  if (found == holders_.end() || found->second.incarnation != owner.incarnation) {
    return nullptr;
  }
  return &found->second;
}

void
share_row::assign(share_entry& entry, std::int64_t ppm, std::int64_t base_limit) const
{
  const auto amount = std::clamp<std::int64_t>(ppm, 0, unassigned());
  const auto base = std::clamp<std::int64_t>(base_limit - base_total(), 0, amount);
  entry.base_ppm += base;
  entry.extra_ppm += amount - base;
}

share_row
share_row::join(const share_owner& owner, std::int64_t ppm, std::int64_t base_limit) const
{
  if (find(owner.instance) != nullptr) {
    return *this;
  }
  auto row = *this;
  share_entry entry;
  entry.incarnation = owner.incarnation;
  assign(entry, ppm, base_limit);
  row.holders_.emplace(owner.instance, entry);
  return row;
}

share_row
share_row::leave(const share_owner& owner) const
{
  auto row = *this;
  if (row.find_owned(owner) != nullptr) {
    row.holders_.erase(owner.instance);
  }
  return row;
}

share_row
share_row::take_over(const share_owner& owner) const
{
  auto row = *this;
  const auto found = row.holders_.find(owner.instance);
  if (found != row.holders_.end()) {
    found->second.incarnation = owner.incarnation;
  }
  return row;
}

share_row
share_row::shrink(const share_owner& owner, std::int64_t ppm) const
{
  auto row = *this;
  auto* entry = row.find_owned(owner);
  if (entry == nullptr || ppm <= 0) {
    return row;
  }
  const auto from_extra = std::min(ppm, entry->extra_ppm);
  entry->extra_ppm -= from_extra;
  entry->base_ppm -= std::min(ppm - from_extra, entry->base_ppm);
  return row;
}

share_row
share_row::grow(const share_owner& owner, std::int64_t ppm, std::int64_t base_limit) const
{
  auto row = *this;
  if (auto* entry = row.find_owned(owner)) {
    assign(*entry, ppm, base_limit);
  }
  return row;
}

share_row
share_row::set_shortfall(const share_owner& owner, std::int64_t ppm) const
{
  auto row = *this;
  if (auto* entry = row.find_owned(owner)) {
    entry->shortfall_ppm = std::clamp<std::int64_t>(ppm, 0, ppm_total);
  }
  return row;
}

share_row
share_row::reclaim(const instance_id& holder,
                   duration unchanged,
                   const share_settings& settings) const
{
  auto row = *this;
  const auto found = row.holders_.find(holder);
  if (found == row.holders_.end()) {
    return row;
  }
  if (unchanged >= settings.with_margin(settings.base_lease)) {
    row.holders_.erase(found);
  } else if (unchanged >= settings.with_margin(settings.extra_lease)) {
    found->second.extra_ppm = 0;
    found->second.shortfall_ppm = 0;
  }
  return row;
}

}
