#pragma once

#include "proxy_fleet.h"

#include <cstddef>
#include <string>

namespace persimmonshelf {

// Longest message of the line protocol, including its end of line.
constexpr std::size_t message_limit = 1 << 20;

// Head of clients that begin a session as ordinary callers do.
inline std::string
start_session(std::size_t)
{
  return start_line;
}

// Statements with the longest messages that are allowed, as one text.
inline std::string
longest_messages(const std::string& statement, std::size_t count)
{
  std::string text;
  text.reserve(count * message_limit);
  for (std::size_t i = 0; i < count; ++i) {
    auto message = "QUERY q" + std::to_string(i) + " " + statement + std::to_string(i) + " ";
    message.append(message_limit - message.size() - 2, 'x');
    text += message + "\r\n";
  }
  return text;
}

inline std::string
repeated(const std::string& message, std::size_t count)
{
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += message;
  }
  return text;
}

}
