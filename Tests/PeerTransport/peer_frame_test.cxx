#include "Adapters/peer_frame.h"

#include <doctest/doctest.h>

#include <string>

using namespace persimmonshelf;

namespace {

constexpr std::size_t limit = 4 << 20;

wire::envelope
document_of(std::size_t bytes)
{
  wire::envelope message;
  message.set_sender("entry-1");
  message.mutable_document()->set_name("config");
  message.mutable_document()->set_content(std::string(bytes, 'a'));
  return message;
}

}

// Fails if encoding changes a message or if decoding loses data at a buffer boundary.
TEST_CASE("messages of all sizes are unchanged after encoding and decoding")
{
  for (const std::size_t size : { 0, 1, 300, 16'300, 16'400, 70'000, 1'000'000, 4'190'000 }) {
    const auto message = document_of(size);
    const auto bytes = encode_frame(message);
    CHECK(bytes.size() <= size / 50 + 400);
    const auto read = decode_frame(bytes, limit);
    REQUIRE(read);
    CHECK(read->SerializeAsString() == message.SerializeAsString());
  }
}

// Fails if a message with a statement is compressed, which would add latency.
TEST_CASE("messages with statements are not compressed")
{
  wire::envelope message;
  message.set_sender("entry-1");
  message.mutable_forward()->set_text(std::string(5000, 'a'));
  CHECK(encode_frame(message) == message.SerializeAsString());
}

// Fails if a frame from a peer can exhaust the memory of an instance, or if an incomplete or
// damaged message is accepted.
TEST_CASE("damaged and oversized frames are rejected")
{
  const auto bytes = encode_frame(document_of(100'000));
  CHECK_FALSE(decode_frame("", limit));
  CHECK_FALSE(decode_frame(std::string(1, '\0'), limit));
  CHECK_FALSE(decode_frame(bytes.substr(0, bytes.size() - 1), limit));
  CHECK_FALSE(decode_frame(bytes + "x", limit));
  CHECK_FALSE(decode_frame(bytes, 50'000));
  auto damaged = bytes;
  damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
  CHECK_FALSE(decode_frame(damaged, limit));
  CHECK(decode_frame(bytes, limit));
}
