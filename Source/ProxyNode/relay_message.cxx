#include "ProxyNode/relay_message.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace persimmonshelf {

namespace {

using message_kind = relay_message::message_kind;

struct named_kind
{
  char name;
  message_kind kind;
};

// Limits how much of a malformed line an error quotes.
constexpr std::size_t max_quoted_bytes = 20;
constexpr std::string_view line_end = "\r\n";

constexpr std::array<named_kind, 10> kinds{ {
  { 'V', message_kind::version },
  { 'P', message_kind::ping },
  { 'Q', message_kind::pong },
  { 'K', message_kind::coordinator },
  { 'L', message_kind::leaving },
  { 'O', message_kind::open },
  { 'I', message_kind::open_without_redirect },
  { 'M', message_kind::redirect },
  { 'D', message_kind::data },
  { 'C', message_kind::close },
} };

}

result<std::string>
encode_relay_message(const relay_message& message)
{
  if (message.text.find(line_end) != std::string::npos) {
    return fail(result_code::bad_request, "relay: the text of a message contains a line end");
  }
  std::string line;
  for (const auto& entry : kinds) {
    if (entry.kind == message.kind) {
      line += entry.name;
    }
  }
  line += std::to_string(message.number);
  line += ' ';
  line += message.text;
  line += line_end;
  return line;
}

result<relay_message>
parse_relay_message(std::string_view line)
{
  relay_message message;
  const auto malformed = [&line] {
    return fail(result_code::malformed_answer,
                "relay: \"" + std::string(line.substr(0, max_quoted_bytes)) +
                  "\" is not a relay message");
  };
  if (line.empty()) {
    return malformed();
  }
  bool known = false;
  for (const auto& entry : kinds) {
    if (entry.name == line.front()) {
      message.kind = entry.kind;
      known = true;
    }
  }
  const auto* end = line.data() + line.size();
  const auto number = std::from_chars(line.data() + 1, end, message.number);
  if (!known || number.ec != std::errc() || number.ptr == end || *number.ptr != ' ') {
    return malformed();
  }
  message.text = std::string(number.ptr + 1, end);
  return message;
}

}
