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

struct key_entry
{
  sha256_digest digest{};
  workspace_id workspace;
  key_state state = key_state::active;
  // Free text of the operators, such as an owner or a ticket.
  std::string note;
};

// The workspaces' keys, of which only digests are kept. A workspace may have several active keys,
// so that callers can change keys one after the other.
class key_set
{
public:
  // An empty set.
  key_set() = default;

  // Parses {"version", "keys":[{"digest","workspace","state","note"}]}; fails with config_invalid.
  static result<key_set> parse(std::string_view text);

  // The document's text. A set that was edited is written with the version it is published as.
  std::string text(config_version version) const;
  config_version version() const { return version_; }

  // A new key: "pskey_" and 256 random bits in hexadecimal digits. The caller shows it once and
  // keeps only its digest.
  static std::string generate_key();

  // The active key that was presented, or null. Candidates share the first two bytes of the digest
  // and are all compared in full, in constant time.
  const key_entry* find(std::string_view presented) const;
  // The active key with this digest, or null. Tells whether work in progress may go on.
  const key_entry* find(const sha256_digest& digest) const;

  // Adds an active key. Giving the same digest to the same workspace again changes nothing, so that
  // an edit with a lost answer can be repeated with the same key. Fails with config_conflict if the
  // digest is revoked or belongs to another workspace.
  result<void> add(const sha256_digest& digest, workspace_id workspace, std::string note);

  // Revokes the key that is given itself, or by a prefix of its digest of at least 8 hexadecimal
  // digits that fits only one key. Revoking a revoked key changes nothing. Fails with bad_request
  // or not_found; messages never contain the key.
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
