#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonshelf {

using sha256_digest = std::array<std::uint8_t, 32>;

sha256_digest
sha256(std::string_view text);
sha256_digest
hmac_sha256(std::string_view key, std::string_view text);

// Compares in constant time, to avoid timing attacks.
bool
equal_constant_time(const sha256_digest& left, const sha256_digest& right);

// Lowercase hexadecimal.
std::string
to_hex(const sha256_digest& digest);

// Returns 64 bits from OpenSSL's cryptographic random generator; aborts the process if it fails.
// Used for incarnation and transaction ids, which a caller must not be able to guess.
std::uint64_t
random_bits();

}
