#include "Base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <cstdlib>

namespace persimmonshelf {

sha256_digest
sha256(std::string_view text)
{
  sha256_digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return digest;
}

sha256_digest
hmac_sha256(std::string_view key, std::string_view text)
{
  sha256_digest digest{};
  unsigned int length = digest.size();
  HMAC(EVP_sha256(),
       key.data(),
       static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       digest.data(),
       &length);
  return digest;
}

bool
equal_constant_time(const sha256_digest& left, const sha256_digest& right)
{
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string
to_hex(const sha256_digest& digest)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(digest.size() * 2);
  for (const auto byte : digest) {
    text.push_back(digits[byte >> 4U]);
    text.push_back(digits[byte & 15U]);
  }
  return text;
}

std::uint64_t
random_bits()
{
  std::uint64_t bits = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&bits), sizeof bits) != 1) {
    // Without random bits, incarnation ids could repeat and fencing by incarnation would fail.
    std::abort();
  }
  return bits;
}

}
