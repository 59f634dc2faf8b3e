#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonshelf {

// 64-bit FNV-1a hash. Instances compare hashes with each other, so the result must be the same in
// all builds and releases, which std::hash does not guarantee.
constexpr std::uint64_t
stable_hash(std::string_view text)
{
  std::uint64_t bits = 0xcbf29ce484222325ULL;
  for (const char symbol : text) {
    bits ^= static_cast<unsigned char>(symbol);
    bits *= 0x100000001b3ULL;
  }
  return bits;
}

// Distributes the bits of a hash, because the hashes of similar texts are similar.
constexpr std::uint64_t
mix_hash(std::uint64_t bits)
{
  bits ^= bits >> 30;
  bits *= 0xbf58476d1ce4e5b9ULL;
  bits ^= bits >> 27;
  bits *= 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31);
}

}
