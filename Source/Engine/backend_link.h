#pragma once

#include "Base/instant.h"

#include <cstdint>
#include <string>

namespace persimmonshelf {

// Number of one connection to a backend server, chosen by the engine and never used again.
using link_number = std::uint64_t;

// What the engine asks of a connection.
struct backend_command
{
  enum class action : std::uint8_t
  {
    open,
    send,
    close,
  };

  action kind = action::open;
  link_number link = 0;
  // IP and port for `open`.
  std::string address;
  std::string method;
  std::string target;
  std::string body;
  std::string traceparent;
  duration timeout{};
};

// What happened on a connection.
struct backend_event
{
  enum class happening : std::uint8_t
  {
    connected,
    connect_failed,
    answered,
    // No whole answer came; the connection is closed.
    failed,
    // The connection closed while no request ran on it.
    closed,
  };

  happening kind = happening::closed;
  link_number link = 0;
  unsigned status = 0;
  std::string body;
  bool may_have_been_sent = false;
  std::string reason;
};

}
