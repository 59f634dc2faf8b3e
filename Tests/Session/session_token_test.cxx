#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Base/digest.h"
#include "Session/session_token.h"

#include <openssl/evp.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace persimmonshelf;

namespace {

const std::string secret = "fleet secret";
const database_id orders("orders");

session_state
sample()
{
  session_state state;
  state.record_read(orders, { term(4), log_position(1'000'000) });
  state.record_unknown_write(database_id("stock"), term(7), std::nullopt);
  return state;
}

result_code
code_of(std::string_view text, std::string_view key = secret)
{
  const auto parsed = session_token::parse(text, key);
  return parsed ? result_code::ok : parsed.error().code;
}

// Returns a token with a valid signature. The payload length must be 1 more than a multiple of 3,
// so that base64 needs no padding.
std::string
signed_text(std::string payload)
{
  const auto digest = hmac_sha256(secret, "persimmonshelf session token\n" + payload);
  payload.append(digest.begin(), digest.end());
  std::string text(payload.size() / 3 * 4 + 1, 0);
  const auto* bytes = reinterpret_cast<const unsigned char*>(payload.data());
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes, int(payload.size()));
  text.pop_back();
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

}

// Guards against a position or pending write that is lost or altered by encoding and parsing.
TEST_CASE("every state is restored from its encoding in URL-safe characters")
{
  CHECK(rc::check([] {
    session_state state;
    for (const auto& name : *rc::gen::arbitrary<std::vector<std::string>>()) {
      auto& seen = state.databases[database_id(name)];
      seen.point = { term(*rc::gen::arbitrary<std::uint64_t>()),
                     log_position(*rc::gen::arbitrary<std::uint64_t>()) };
      if (*rc::gen::arbitrary<bool>()) {
        seen.pending_write_term = term(*rc::gen::arbitrary<std::uint32_t>());
      }
    }
    const auto text = session_token::encode(state, secret).value();
    RC_ASSERT(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                     "0123456789-_") == std::string::npos);
    RC_ASSERT(session_token::parse(text, secret).value() == state);
  }));
  CHECK(session_token::parse("", secret).value() == session_state{});
}

// Guards against a caller that raises, lowers or forges positions.
TEST_CASE("every single-bit flip, truncation and wrong secret is rejected")
{
  const auto text = session_token::encode(sample(), secret).value();
  for (std::size_t bit = 0; bit < text.size() * 8; ++bit) {
    auto damaged = text;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1U << (bit % 8)));
    CHECK_MESSAGE(code_of(damaged) == result_code::bad_session_token, "bit " << bit);
  }
  for (std::size_t length = 1; length < text.size(); ++length) {
    CHECK(code_of(text.substr(0, length)) == result_code::bad_session_token);
    CHECK(code_of(text.substr(length)) == result_code::bad_session_token);
  }
  for (const auto& wrong :
       { text + "A", text + "=", text + text, " " + text, std::string("\0", 1) }) {
    CHECK(code_of(wrong) == result_code::bad_session_token);
  }
  CHECK(code_of(text, "other secret") == result_code::bad_session_token);
  CHECK(code_of(text, "") == result_code::settings_invalid);
  CHECK(session_token::encode(sample(), "").error().code == result_code::settings_invalid);
}

// Guards against payloads with a valid signature but another layout, as after an upgrade.
TEST_CASE("signed payloads with another layout are rejected")
{
  using namespace std::string_literals;
  CHECK(code_of(signed_text("\1\1\0\4\5\0\0"s)) != result_code::ok);       // trailing byte
  CHECK(code_of(signed_text("\1\0\0\0"s)) != result_code::ok);             // trailing bytes
  CHECK(code_of(signed_text("\2\1\1a\4\5\0"s)) != result_code::ok);        // unknown version
  CHECK(code_of(signed_text("\1\1\1a\4\5\0"s)) == result_code::ok);        // valid
  CHECK(code_of(signed_text("\1\1\x7f\4"s)) != result_code::ok);           // name past the end
  CHECK(code_of(signed_text("\1\2\0\4\5\0\0\4\5\0"s)) != result_code::ok); // duplicate database
}

// Guards against unbounded tokens from sessions that use very many databases.
TEST_CASE("tokens above the maximum length are rejected when encoded and when parsed")
{
  session_state state;
  for (int i = 0; i < 2000; ++i) {
    state.record_read(database_id("database-" + std::to_string(i)), { term(1), log_position(1) });
  }
  CHECK(session_token::encode(state, secret).error().code == result_code::bad_session_token);
  const auto too_long = signed_text("\1\1\xc7\x65" + std::string(12999, 'a') + "\4\5\6");
  CHECK(too_long.size() > max_session_token_length);
  CHECK(code_of(too_long) == result_code::bad_session_token);
}

// Guards against a merge that drops the higher log point or a pending write.
TEST_CASE("points only rise, and a pending write is cleared only by a primary of its term or later")
{
  auto state = sample();
  state.record_read(orders, { term(3), log_position(9'000'000) });
  CHECK(state.databases[orders].point == log_point{ term(4), log_position(1'000'000) });

  state.record_unknown_write(orders, term(5), log_point{ term(5), log_position(1'000'001) });
  state.record_unknown_write(orders, term(4), std::nullopt);
  auto merged = sample();
  merged.merge(state);
  state.merge(sample());
  CHECK(merged == state);
  CHECK(merged.databases[orders].pending_write_term == term(5));
  CHECK(merged.databases[orders].point == log_point{ term(5), log_position(1'000'001) });

  merged.record_read(orders, { term(6), log_position(2'000'000) });
  CHECK(merged.databases[orders].pending_write_term == term(5));
  merged.record_primary_answer(orders, term(4), { term(4), log_position(3) });
  CHECK(merged.databases[orders].pending_write_term == term(5));
  merged.record_primary_answer(orders, term(5), { term(5), log_position(1'000'002) });
  CHECK_FALSE(merged.databases[orders].pending_write_term);
  CHECK(merged.databases[orders].point == log_point{ term(6), log_position(2'000'000) });
}
