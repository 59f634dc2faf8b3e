#include "Control/key_set.h"

#include "Base/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr std::string_view key_prefix = "pskey_";
constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::size_t digest_hex_length = 64;
// 32 bits make it unlikely that two keys match by accident, and are short enough to type.
constexpr std::size_t min_prefix_length = 8;
constexpr std::size_t bucket_bytes = 2;

std::optional<sha256_digest>
from_hex(std::string_view text)
{
  if (text.size() != digest_hex_length) {
    return std::nullopt;
  }
  sha256_digest digest{};
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto value = hex_digits.find(text[i]);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    auto& byte = digest[i / 2];
    byte = static_cast<std::uint8_t>(byte << 4U | value);
  }
  return digest;
}

bool
bucket_less(const sha256_digest& left, const sha256_digest& right)
{
  return std::lexicographical_compare(
    left.begin(), left.begin() + bucket_bytes, right.begin(), right.begin() + bucket_bytes);
}

// Entries are sorted by digest, so the entries of a bucket are adjacent.
template<typename entries>
auto
bucket(entries& list, const sha256_digest& digest)
{
  const auto first =
    std::lower_bound(list.begin(), list.end(), digest, [](const auto& entry, const auto& wanted) {
      return bucket_less(entry.digest, wanted);
    });
  const auto last =
    std::upper_bound(first, list.end(), digest, [](const auto& wanted, const auto& entry) {
      return bucket_less(wanted, entry.digest);
    });
  return std::pair(first, last);
}

template<typename entries>
auto
find_entry(entries& list, const sha256_digest& digest)
{
  const auto [first, last] = bucket(list, digest);
  auto found = list.end();
  for (auto candidate = first; candidate != last; ++candidate) {
    if (equal_constant_time(candidate->digest, digest)) {
      found = candidate;
    }
  }
  return found;
}

void
insert_sorted(std::vector<key_entry>& entries, key_entry entry)
{
  const auto place = std::upper_bound(
    entries.begin(), entries.end(), entry.digest, [](const auto& wanted, const auto& other) {
      return wanted < other.digest;
    });
  entries.insert(place, std::move(entry));
}

result<key_entry>
read_entry(const json::value& value, const std::string& place)
{
  auto created = json_fields::create(value, place, result_code::config_invalid);
  if (!created) {
    return created.error();
  }
  auto& fields = created.value();
  const auto digest = fields.text("digest");
  if (!digest) {
    return digest.error();
  }
  const auto bytes = from_hex(digest.value());
  if (!bytes) {
    return fail(result_code::config_invalid, place + ".digest: expected 64 hexadecimal digits");
  }
  auto workspace = fields.text("workspace");
  if (!workspace) {
    return workspace.error();
  }
  const auto state = fields.text("state");
  if (!state) {
    return state.error();
  }
  if (state.value() != "active" && state.value() != "revoked") {
    return fail(result_code::config_invalid, place + R"(.state: expected "active" or "revoked")");
  }
  auto note = fields.text_or("note", "");
  if (!note) {
    return note.error();
  }
  const auto finished = fields.finish();
  if (!finished) {
    return finished.error();
  }
  return key_entry{ *bytes,
                    workspace_id(std::move(workspace).value()),
                    state.value() == "active" ? key_state::active : key_state::revoked,
                    std::move(note).value() };
}

}

result<key_set>
key_set::parse(std::string_view text)
{
  const auto root = parse_json(text, result_code::config_invalid);
  if (!root) {
    return root.error();
  }
  auto created = json_fields::create(root.value(), "keys document", result_code::config_invalid);
  if (!created) {
    return created.error();
  }
  auto& fields = created.value();
  const auto version = fields.integer("version", 0, std::numeric_limits<std::int64_t>::max());
  if (!version) {
    return version.error();
  }
  const auto* keys = fields.find("keys");
  if (keys == nullptr || !keys->is_array()) {
    return fail(result_code::config_invalid, "keys document.keys: expected an array");
  }
  const auto finished = fields.finish();
  if (!finished) {
    return finished.error();
  }
  key_set set;
  set.version_ = config_version(static_cast<std::uint64_t>(version.value()));
  const auto& items = keys->as_array();
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto place = "keys[" + std::to_string(i) + "]";
    auto entry = read_entry(items[i], place);
    if (!entry) {
      return entry.error();
    }
    if (find_entry(set.entries_, entry.value().digest) != set.entries_.end()) {
      return fail(result_code::config_invalid, place + ".digest: listed twice");
    }
    insert_sorted(set.entries_, std::move(entry).value());
  }
  return set;
}

std::string
key_set::text(config_version version) const
{
  json::array keys;
  for (const auto& entry : entries_) {
    keys.push_back(json::object{ { "digest", to_hex(entry.digest) },
                                 { "workspace", entry.workspace.get() },
                                 { "state", std::string(name_of(entry.state)) },
                                 { "note", entry.note } });
  }
  return json::serialize(
    json::object{ { "version", static_cast<std::int64_t>(version.get()) }, { "keys", keys } });
}

std::string
key_set::generate_key()
{
  std::string key(key_prefix);
  for (int word = 0; word < 4; ++word) {
    auto bits = random_bits();
    for (int digit = 0; digit < 16; ++digit) {
      key.push_back(hex_digits[bits & 15U]);
      bits >>= 4U;
    }
  }
  return key;
}

const key_entry*
key_set::find(std::string_view presented) const
{
  return find(sha256(presented));
}

const key_entry*
key_set::find(const sha256_digest& digest) const
{
  const auto found = find_entry(entries_, digest);
  return found == entries_.end() || found->state != key_state::active ? nullptr : &*found;
}

result<void>
key_set::add(const sha256_digest& digest, workspace_id workspace, std::string note)
{
  const auto found = find_entry(entries_, digest);
  if (found == entries_.end()) {
    insert_sorted(entries_, { digest, std::move(workspace), key_state::active, std::move(note) });
    return success();
  }
  if (found->state == key_state::active && found->workspace == workspace) {
    return success();
  }
  return fail(result_code::config_conflict,
              "digest " + to_hex(digest).substr(0, min_prefix_length) +
                " is already in use or revoked");
}

result<key_entry>
key_set::revoke(std::string_view key_or_prefix)
{
  auto chosen = entries_.end();
  if (key_or_prefix.starts_with(key_prefix)) {
    chosen = find_entry(entries_, sha256(key_or_prefix));
  } else {
    if (key_or_prefix.size() < min_prefix_length ||
        key_or_prefix.find_first_not_of(hex_digits) != std::string_view::npos) {
      return fail(result_code::bad_request,
                  "expected a key or at least 8 hexadecimal digits of its digest");
    }
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
      if (!to_hex(entry->digest).starts_with(key_or_prefix)) {
        continue;
      }
      if (chosen != entries_.end()) {
        return fail(result_code::bad_request,
                    "the digest prefix matches several keys, give more digits");
      }
      chosen = entry;
    }
  }
  if (chosen == entries_.end()) {
    return fail(result_code::not_found, "no such key");
  }
  chosen->state = key_state::revoked;
  return *chosen;
}

std::string_view
name_of(key_state state)
{
  return state == key_state::active ? "active" : "revoked";
}

}
