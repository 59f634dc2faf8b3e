#pragma once

#include "Base/digest.h"
#include "Base/error.h"
#include "Base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

enum class key_state : std::uint8_t
{
  active,
  revoked,
};

// An API key of a workspace, identified by its digest.
struct key_entry
{
  sha256_digest digest{};
  workspace_id workspace;
  key_state state = key_state::active;
  // Operators' free text, such as an owner or a ticket.
  std::string note;
};

// API keys of the workspaces, stored only as digests. A workspace may have several active keys, so
// that callers can switch to a new key one after the other.
class key_set
{
public:
  // An empty set.
  key_set() = default;

  // Parses {"version", "keys":[{"digest","workspace","state","note"}]}; fails with config_invalid.
  static result<key_set> parse(std::string_view text);

  // Returns the document's text with the version under which the set will be published.
  std::string text(config_version version) const;
  config_version version() const { return version_; }

  // Generates a new key: "pskey_" and 256 random bits as hexadecimal digits. The caller shows it
  // once and stores only its digest.
  static std::string generate_key();

  // Returns the active entry of a presented key, or null. All candidates that share the first two
  // bytes of the digest are compared in full and in constant time.
  const key_entry* find(std::string_view presented) const;
  // Returns the active entry with this digest, or null. Used to check whether work in progress may
  // continue.
  const key_entry* find(const sha256_digest& digest) const;

  // Adds an active key. Adding the same digest to the same workspace again changes nothing, so that
  // an edit whose response was lost can be repeated with the same key. Fails with config_conflict
  // if the digest is revoked or belongs to another workspace.
  result<void> add(const sha256_digest& digest, workspace_id workspace, std::string note);

  // Revokes the key identified by the key itself, or by a prefix of its digest that has at least 8
  // hexadecimal digits and matches only one key. Revoking a revoked key changes nothing. Fails with
  // bad_request or not_found. Error messages never contain the key.
  result<key_entry> revoke(std::string_view key_or_prefix);

  // All keys, sorted by digest.
  const std::vector<key_entry>& entries() const { return entries_; }

private:
  config_version version_;
  std::vector<key_entry> entries_;
};

std::string_view
name_of(key_state state);

}
