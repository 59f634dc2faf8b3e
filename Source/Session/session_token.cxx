#include "Session/session_token.h"

#include "Base/digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace persimmonshelf {

namespace {

// Raised with every change of the layout; also part of what is signed.
constexpr char token_version = 1;

// Keeps a signature of another purpose under the same secret from being accepted here.
constexpr std::string_view signing_context = "persimmonshelf session token\n";

constexpr std::size_t signature_length = sha256_digest{}.size();

auto
bad_token(std::string_view reason)
{
  return fail(result_code::bad_session_token, "session token: " + std::string(reason));
}

sha256_digest
sign(std::string_view payload, std::string_view secret)
{
  return hmac_sha256(secret, std::string(signing_context).append(payload));
}

std::string
to_base64url(std::string_view bytes)
{
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  text.resize(text.find_last_not_of('=') + 1);
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

// Empty unless `text` is exactly what to_base64url writes; a second spelling of the same bytes is
// refused.
std::string
from_base64url(std::string_view text)
{
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  const std::size_t padding = (4 - text.size() % 4) % 4;
  padded.append(padding, '=');
  std::string bytes(padded.size() / 4 * 3, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(padded.data()),
                                     static_cast<int>(padded.size()));
  if (length < 0 || static_cast<std::size_t>(length) < padding) {
    return {};
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return to_base64url(bytes) == text ? bytes : std::string{};
}

// Seven bits a byte, the lowest first; the high bit marks that more follow.
void
append_number(std::string& bytes, std::uint64_t value)
{
  while (value >= 0x80U) {
    bytes.push_back(static_cast<char>((value & 0x7fU) | 0x80U));
    value >>= 7U;
  }
  bytes.push_back(static_cast<char>(value));
}

bool
take_number(std::string_view& bytes, std::uint64_t& value)
{
  value = 0;
  for (unsigned shift = 0; shift < 64 && !bytes.empty(); shift += 7) {
    const auto byte = static_cast<std::uint8_t>(bytes.front());
    bytes.remove_prefix(1);
    value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
    if ((byte & 0x80U) == 0) {
      return true;
    }
  }
  return false;
}

bool
take_position(std::string_view& bytes, session_state& state)
{
  std::uint64_t name_length = 0;
  if (!take_number(bytes, name_length) || name_length > bytes.size()) {
    return false;
  }
  const database_id database{ std::string(bytes.substr(0, name_length)) };
  bytes.remove_prefix(name_length);
  std::uint64_t in_term = 0;
  std::uint64_t position = 0;
  std::uint64_t pending = 0;
  if (!take_number(bytes, in_term) || !take_number(bytes, position) ||
      !take_number(bytes, pending)) {
    return false;
  }
  session_position entry{ { term(in_term), log_position(position) }, std::nullopt };
  if (pending > 0) {
    entry.pending_write_term = term(pending - 1);
  }
  return state.databases.emplace(database, entry).second;
}

}

void
session_state::merge(const session_state& other)
{
  for (const auto& [database, seen] : other.databases) {
    auto& mine = databases[database];
    mine.point = std::max(mine.point, seen.point);
    mine.pending_write_term = std::max(mine.pending_write_term, seen.pending_write_term);
  }
}

void
session_state::record_read(const database_id& database, const log_point& seen)
{
  auto& mine = databases[database];
  mine.point = std::max(mine.point, seen);
}

void
session_state::record_primary_answer(const database_id& database,
                                     term primary_term,
                                     const log_point& seen)
{
  record_read(database, seen);
  auto& mine = databases[database];
  if (mine.pending_write_term && *mine.pending_write_term <= primary_term) {
    mine.pending_write_term.reset();
  }
}

void
session_state::record_unknown_write(const database_id& database,
                                    term sent_in,
                                    const std::optional<log_point>& written)
{
  auto& mine = databases[database];
  mine.pending_write_term = std::max(mine.pending_write_term, std::optional(sent_in));
  if (written) {
    mine.point = std::max(mine.point, *written);
  }
}

result<std::string>
session_token::encode(const session_state& state, std::string_view secret)
{
  if (secret.empty()) {
    return fail(result_code::settings_invalid, "session token: the fleet secret is empty");
  }
  std::string bytes(1, token_version);
  append_number(bytes, state.databases.size());
  for (const auto& [database, seen] : state.databases) {
    append_number(bytes, database.get().size());
    bytes.append(database.get());
    append_number(bytes, seen.point.in_term.get());
    append_number(bytes, seen.point.position.get());
    // Zero stands for no mark; the largest term cannot be marked, and no term gets that far.
    append_number(bytes, seen.pending_write_term ? seen.pending_write_term->get() + 1 : 0);
  }
  const auto signature = sign(bytes, secret);
  bytes.append(signature.begin(), signature.end());
  auto text = to_base64url(bytes);
  if (text.size() > max_session_token_length) {
    return bad_token("the positions of " + std::to_string(state.databases.size()) +
                     " databases do not fit");
  }
  return text;
}

result<session_state>
session_token::parse(std::string_view text, std::string_view secret)
{
  if (secret.empty()) {
    return fail(result_code::settings_invalid, "session token: the fleet secret is empty");
  }
  session_state state;
  if (text.empty()) {
    return state;
  }
  if (text.size() > max_session_token_length) {
    return bad_token("longer than " + std::to_string(max_session_token_length) + " characters");
  }
  const std::string bytes = from_base64url(text);
  if (bytes.size() <= signature_length) {
    return bad_token("not a token");
  }
  std::string_view payload = std::string_view(bytes).substr(0, bytes.size() - signature_length);
  sha256_digest signature{};
  std::copy(std::prev(bytes.end(), signature_length), bytes.end(), signature.begin());
  if (!equal_constant_time(signature, sign(payload, secret))) {
    return bad_token("the signature is wrong");
  }
  if (payload.front() != token_version) {
    return bad_token("unknown version " + std::to_string(static_cast<int>(payload.front())));
  }
  payload.remove_prefix(1);
  std::uint64_t count = 0;
  bool readable = take_number(payload, count);
  for (std::uint64_t i = 0; readable && i < count; ++i) {
    readable = take_position(payload, state);
  }
  if (!readable || !payload.empty()) {
    return bad_token("the positions are malformed");
  }
  return state;
}

}
