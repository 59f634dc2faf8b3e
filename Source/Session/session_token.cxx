#include "Session/session_token.h"

#include "Base/digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace persimmonshelf {

namespace {

// Incremented with every change of the layout. The signature covers it.
constexpr char token_version = 1;

// Domain separation: a signature made with the same secret for another purpose is not valid here.
constexpr std::string_view signing_context = "persimmonshelf session token\n";

constexpr std::size_t signature_length = sha256_digest{}.size();

auto
token_error(std::string_view reason)
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

// Returns an empty string unless `text` is exactly what to_base64url writes; another encoding of
// the same bytes is rejected.
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

// Seven bits per byte, least significant first; the high bit is set on all bytes but the last.
void
append_varint(std::string& bytes, std::uint64_t value)
{
  while (value >= 0x80U) {
    bytes.push_back(static_cast<char>((value & 0x7fU) | 0x80U));
    value >>= 7U;
  }
  bytes.push_back(static_cast<char>(value));
}

bool
take_varint(std::string_view& bytes, std::uint64_t& value)
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
  if (!take_varint(bytes, name_length) || name_length > bytes.size()) {
    return false;
  }
  const database_id database{ std::string(bytes.substr(0, name_length)) };
  bytes.remove_prefix(name_length);
  std::uint64_t in_term = 0;
  std::uint64_t position = 0;
  std::uint64_t pending = 0;
  if (!take_varint(bytes, in_term) || !take_varint(bytes, position) ||
      !take_varint(bytes, pending)) {
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
  for (const auto& [database, recorded] : other.databases) {
    auto& position = databases[database];
    position.point = std::max(position.point, recorded.point);
    position.pending_write_term =
      std::max(position.pending_write_term, recorded.pending_write_term);
  }
}

void
session_state::record_read(const database_id& database, const log_point& point)
{
  auto& position = databases[database];
  position.point = std::max(position.point, point);
}

void
session_state::record_primary_answer(const database_id& database,
                                     term primary_term,
                                     const log_point& point)
{
  record_read(database, point);
  auto& position = databases[database];
  if (position.pending_write_term && *position.pending_write_term <= primary_term) {
    position.pending_write_term.reset();
  }
}

void
session_state::record_unknown_write(const database_id& database,
                                    term write_term,
                                    const std::optional<log_point>& write_point)
{
  auto& position = databases[database];
  position.pending_write_term = std::max(position.pending_write_term, std::optional(write_term));
  if (write_point) {
    position.point = std::max(position.point, *write_point);
  }
}

result<std::string>
session_token::encode(const session_state& state, std::string_view secret)
{
  if (secret.empty()) {
    return fail(result_code::settings_invalid, "session token: the fleet secret is empty");
  }
  std::string bytes(1, token_version);
  append_varint(bytes, state.databases.size());
  for (const auto& [database, recorded] : state.databases) {
    append_varint(bytes, database.get().size());
    bytes.append(database.get());
    append_varint(bytes, recorded.point.in_term.get());
    append_varint(bytes, recorded.point.position.get());
    // Zero means no pending write. The largest term cannot be encoded; terms never get that high.
    append_varint(bytes, recorded.pending_write_term ? recorded.pending_write_term->get() + 1 : 0);
  }
  const auto signature = sign(bytes, secret);
  bytes.append(signature.begin(), signature.end());
  auto text = to_base64url(bytes);
  if (text.size() > max_session_token_length) {
    return token_error("the positions of " + std::to_string(state.databases.size()) +
                       " databases exceed the maximum length");
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
    return token_error("longer than " + std::to_string(max_session_token_length) + " characters");
  }
  const std::string bytes = from_base64url(text);
  if (bytes.size() <= signature_length) {
    return token_error("too short or not canonical base64url");
  }
  std::string_view payload = std::string_view(bytes).substr(0, bytes.size() - signature_length);
  sha256_digest signature{};
  std::copy(std::prev(bytes.end(), signature_length), bytes.end(), signature.begin());
  if (!equal_constant_time(signature, sign(payload, secret))) {
    return token_error("the signature does not match");
  }
  if (payload.front() != token_version) {
    return token_error("unknown version " + std::to_string(static_cast<int>(payload.front())));
  }
  payload.remove_prefix(1);
  std::uint64_t count = 0;
  bool valid = take_varint(payload, count);
  for (std::uint64_t i = 0; valid && i < count; ++i) {
    valid = take_position(payload, state);
  }
  if (!valid || !payload.empty()) {
    return token_error("the positions are malformed");
  }
  return state;
}

}
