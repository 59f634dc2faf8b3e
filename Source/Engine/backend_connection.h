#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Group/group_view.h"
#include "Home/home_types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace persimmonshelf {

// Number of one connection to a backend server, chosen by the engine and never used again.
using backend_connection_id = std::uint64_t;

// Asks for a member's status as soon as its log passes `after`, at the latest after `wait`.
struct watch_request
{
  log_position after;
  duration wait{};
};

// Makes a member refuse all terms below `in_term` on behalf of a candidate.
struct fence_request
{
  term in_term;
  std::string candidate;
};

struct promote_request
{
  term in_term;
  std::string candidate;
};

// Tells a member which server it replicates from.
struct follow_request
{
  term in_term;
  std::string primary_address;
};

using backend_message =
  std::variant<watch_request, fence_request, promote_request, follow_request, backend_request>;

struct fence_reply
{
  bool granted = false;
  term promised;
  log_point last;
};

// Answer to a promotion or to an order to follow.
struct role_change_reply
{
  bool done = false;
  // Highest term that the member promised; zero if its answer did not say.
  term promised;
};

// A whole answer; monostate stands for one that could not be understood. In a member_report the
// times are left for the receiver to fill in.
using backend_reply =
  std::variant<std::monostate, member_report, fence_reply, role_change_reply, backend_answer>;

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
  backend_connection_id connection = 0;
  // IP and port for `open`.
  std::string address;
  backend_message message;
  duration timeout{};
};

// What happened on a connection.
struct backend_event
{
  enum class event_type : std::uint8_t
  {
    connected,
    connect_failed,
    answered,
    // No whole answer came; the connection is closed.
    failed,
    // The connection closed while no request ran on it.
    closed,
  };

  event_type kind = event_type::closed;
  backend_connection_id connection = 0;
  backend_reply reply;
  bool may_have_been_sent = false;
  // True if the deadline passed, false if the connection broke.
  bool timed_out = false;
  std::string reason;
};

}
