#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Base/digest.h"
#include "Base/json_fields.h"
#include "Base/ring.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

using namespace persimmonshelf;

// Guards against two result codes with the same number and a table that is not sorted.
TEST_CASE("result codes are unique and in ascending order")
{
  const auto& table = result_code_table();
  for (std::size_t i = 1; i < table.size(); ++i) {
    CHECK(table[i - 1].code < table[i].code);
  }
}

// Guards against a misspelled setting that is silently ignored.
TEST_CASE("unknown JSON fields are rejected and the error states their path")
{
  const auto value = parse_json(R"({"a": 1, "typo": 2})", result_code::settings_invalid);
  REQUIRE(value);
  auto fields = json_fields::create(value.value(), "settings", result_code::settings_invalid);
  REQUIRE(fields);
  CHECK(fields.value().integer("a", 0, 5).value() == 1);
  const auto finished = fields.value().finish();
  REQUIRE(!finished);
  CHECK(finished.error().message == "settings.typo: unknown name");
}

// Guards against items that are lost between the last pop and the next wake-up, and against
// blocking when the ring is full.
TEST_CASE("a ring delivers items in order and push fails when it is full")
{
  boost::asio::io_context consumer;
  std::string received;
  ring<std::unique_ptr<char>> items(consumer, 2, [&](auto item) { received.push_back(*item); });
  CHECK(items.push(std::make_unique<char>('a')));
  CHECK(items.push(std::make_unique<char>('b')));
  CHECK_FALSE(items.push(std::make_unique<char>('c')));
  consumer.run();
  CHECK(received == "ab");
  consumer.restart();
  CHECK(items.push(std::make_unique<char>('d')));
  consumer.run();
  CHECK(received == "abd");
}

// Guards against a wrong byte order or padding. Keys are stored as these digests.
TEST_CASE("digests match published test vectors")
{
  CHECK(to_hex(sha256("abc")) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(to_hex(hmac_sha256("Jefe", "what do ya want for nothing?")) ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}
