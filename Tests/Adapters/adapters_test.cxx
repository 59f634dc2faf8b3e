#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Adapters/caller_codec.h"
#include "Adapters/settings.h"

#include <string>
#include <utility>
#include <vector>

using namespace persimmonshelf;

namespace {

const std::string settings_text =
  R"({"instance":"n1","zone":"north","caller_address":"127.0.0.1:1","operator_address":"127.0.0.1:2",)"
  R"("peer_address":"127.0.0.1:3","metrics_address":"127.0.0.1:4","platform_address":"127.0.0.1:5",)"
  R"("session_secret":"0123456789abcdef"})";

std::string
replaced(std::string text, const std::string& from, const std::string& to)
{
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

http_request
caller_message(const std::string& target, const std::string& body)
{
  http_request request;
  request.method = "POST";
  request.target = target;
  request.authorization = "Bearer pskey_0123";
  request.body = body;
  return request;
}

}

// Fails if an invalid setting is accepted or its error does not name the field.
TEST_CASE("an invalid setting is an error that names the field")
{
  REQUIRE(parse_settings(settings_text));
  const std::vector<std::pair<std::string, std::string>> cases = {
    { replaced(settings_text, R"("zone")", R"("zones")"), "settings.zone: expected a string" },
    { replaced(settings_text, "{", R"({"typo":1,)"), "settings.typo: unknown name" },
    { replaced(settings_text, "127.0.0.1:3", "localhost:3"),
      "settings.peer_address: expected IP:PORT, found \"localhost:3\"" },
    { replaced(settings_text, "0123456789abcdef", "short"),
      "settings.session_secret: expected at least 16 characters" },
    { replaced(settings_text, "{", R"({"drain_timeout_ms":-1,)"),
      "settings.drain_timeout_ms: expected an integer from 0 to 3600000, found -1" },
  };
  for (const auto& [text, message] : cases) {
    const auto parsed = parse_settings(text);
    REQUIRE(!parsed);
    CHECK(parsed.error().code == result_code::settings_invalid);
    CHECK(parsed.error().message == message);
  }
}

// Fails if a request is decoded wrongly, or if an invalid request is accepted or its error does not
// name the field. The exact messages also ensure that no error contains the workspace key.
TEST_CASE("an invalid caller request is an error that names the field")
{
  const auto good = decode_caller_request(
    caller_message("/v1/routes/shop/statement",
                   R"({"database":"d","statement":"GET a","kind":"read","max_age_ms":5})"));
  REQUIRE(good);
  CHECK(good.value().route == route_id("shop"));
  CHECK(good.value().key == "pskey_0123");
  CHECK(good.value().max_age == std::chrono::milliseconds(5));
  CHECK_FALSE(good.value().write);

  struct refusal
  {
    const char* target;
    const char* body;
    const char* message;
  };
  const std::vector<refusal> cases = {
    { "/v1/shop", "{}", "path: expected /v1/routes/ROUTE/OPERATION" },
    { "/v1/routes/shop/erase", "{}", "path: unknown operation \"erase\"" },
    { "/v1/routes/shop/statement",
      R"({"database":"d","statement":"x","kind":"maybe"})",
      "body.kind: expected \"read\" or \"write\", found \"maybe\"" },
    { "/v1/routes/shop/statement",
      R"({"database":"d","statement":"x","kind":"read","max_age":1})",
      "body.max_age: unknown name" },
    { "/v1/routes/shop/commit",
      R"({"database":"d"})",
      "body.transaction: expected the id returned by begin" },
    { "/v1/routes/shop/statement",
      R"({"database":"d","statement":"x","kind":"read","deadline_ms":0})",
      "body.deadline_ms: expected an integer from 1 to 86400000, found 0" },
  };
  for (const auto& item : cases) {
    const auto decoded = decode_caller_request(caller_message(item.target, item.body));
    REQUIRE(!decoded);
    CHECK(decoded.error().code == result_code::bad_request);
    CHECK(decoded.error().message == item.message);
  }
}

// Fails if an answer is not a single JSON object or if its HTTP status contradicts the outcome.
TEST_CASE("answers contain the outcome, the code and the unmodified rows")
{
  caller_answer answer;
  answer.code = result_code::ok;
  answer.outcome = run_outcome::done;
  answer.rows = R"([{"key":"a"}])";
  const auto done = encode_caller_answer(answer);
  CHECK(done.status == 200);
  CHECK(done.body ==
        R"({"outcome":"done","code":0,"name":"ok","from_replica":false,"rows":[{"key":"a"}]})");
  answer = make_not_run_answer(result_code::rate_exceeded, "over");
  CHECK(encode_caller_answer(answer).status == 429);
  answer.code = result_code::answer_overdue;
  answer.outcome = run_outcome::unknown;
  CHECK(encode_caller_answer(answer).status == 504);
}
