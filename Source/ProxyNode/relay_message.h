#pragma once

#include "Base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonshelf {

// One message between an instance that accepts callers and a carrier that runs their sessions. Each
// message is one line.
struct relay_message
{
  enum class message_kind : std::uint8_t
  {
    // Newest configuration version whose effects the sender may have shown to a caller.
    version,
    // The carrier answers a ping with a pong of the same number.
    ping,
    pong,
    // Token of the coordinator and the address to which instances send reports.
    coordinator,
    // The carrier stops, and sessions should begin on other instances.
    leaving,
    // A session begins with the caller's first message. To `open` the carrier may answer `redirect`
    // with the routing key of the session, if another instance should run it.
    open,
    open_without_redirect,
    redirect,
    // One message from or to the caller.
    data,
    // The session ended. The text says whether every message that the carrier handled has its
    // answer; see all_answered_text.
    close,
  };
  message_kind kind = message_kind::data;
  // Version, token or ping number; for all other kinds the number of the session.
  std::uint64_t number = 0;
  std::string text;
};

// Text of `close` if messages without an answer were not handled by the carrier.
inline constexpr std::string_view all_answered_text = "all-answered";

// The message with its line end. Fails with bad_request if the text contains a line end, because
// the receiver would read two messages.
result<std::string>
encode_relay_message(const relay_message& message);

// Fails with malformed_answer.
result<relay_message>
parse_relay_message(std::string_view line);

}
