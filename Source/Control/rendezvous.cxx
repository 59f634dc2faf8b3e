#include "Control/rendezvous.h"

#include "Base/stable_hash.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf::rendezvous {

namespace {

// Finaliser of MurmurHash3 (fmix64): every input bit changes about half of the output bits.
std::uint64_t
finalise(std::uint64_t bits)
{
  bits ^= bits >> 33U;
  bits *= 0xff51afd7ed558ccdULL;
  bits ^= bits >> 33U;
  bits *= 0xc4ceb9fe1a85ec53ULL;
  bits ^= bits >> 33U;
  return bits;
}

}

std::uint64_t
hash(std::string_view text)
{
  return finalise(stable_hash(text));
}

std::uint64_t
weight(std::uint64_t key_hash, std::uint64_t name_hash)
{
  // The multiplication prevents key and name hashes from cancelling each other out when they are
  // equal.
  return finalise(key_hash * 0x9e3779b97f4a7c15ULL ^ name_hash);
}

std::vector<std::string>
rank(std::string_view key, std::span<const std::string> names, std::size_t count)
{
  const auto key_hash = hash(key);
  std::vector<std::pair<std::uint64_t, const std::string*>> weighted;
  weighted.reserve(names.size());
  for (const auto& name : names) {
    weighted.emplace_back(weight(key_hash, hash(name)), &name);
  }
  const auto chosen = std::min(count, weighted.size());
  const auto heavier = [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first : *left.second < *right.second;
  };
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(chosen),
                    weighted.end(),
                    heavier);
  std::vector<std::string> ranked;
  ranked.reserve(chosen);
  for (std::size_t i = 0; i < chosen; ++i) {
    ranked.push_back(*weighted[i].second);
  }
  return ranked;
}

std::optional<std::string>
pick(std::string_view key, std::span<const std::string> names)
{
  auto ranked = rank(key, names, 1);
  if (ranked.empty()) {
    return std::nullopt;
  }
  return std::move(ranked.front());
}

}
