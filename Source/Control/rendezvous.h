#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Rendezvous hashing (highest random weight). Every instance with the same names makes the same
// choice, and adding or removing a name moves only the keys that it wins. The hash is the same in
// all builds and releases, because instances of different releases must agree.
namespace persimmonshelf::rendezvous {

// FNV-1a followed by a finaliser, because FNV-1a alone mixes the last bytes poorly.
std::uint64_t
hash(std::string_view text);

// Weight of a name for a key, computed from their hashes.
std::uint64_t
weight(std::uint64_t key_hash, std::uint64_t name_hash);

// Returns the name with the highest weight, or nothing if `names` is empty. The order of `names`
// does not matter.
std::optional<std::string>
pick(std::string_view key, std::span<const std::string> names);

// Returns up to `count` names in order of descending weight.
std::vector<std::string>
rank(std::string_view key, std::span<const std::string> names, std::size_t count);

}
