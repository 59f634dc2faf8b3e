#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Highest-random-weight choice: every instance with the same names makes the same choice, and a
// name that comes or goes moves only the keys that it wins. The hash is the same in all builds and
// releases, because instances of different releases must agree.
namespace persimmonshelf::rendezvous {

// FNV-1a with a finaliser, since FNV-1a alone mixes the last bytes poorly.
std::uint64_t
hash(std::string_view text);

// Weight of a name for a key, from their hashes.
std::uint64_t
weight(std::uint64_t key_hash, std::uint64_t name_hash);

// The name of the highest weight, or none if `names` is empty. The order of `names` does not
// matter.
std::optional<std::string>
pick(std::string_view key, std::span<const std::string> names);

// Up to `count` names in descending weight.
std::vector<std::string>
rank(std::string_view key, std::span<const std::string> names, std::size_t count);

}
