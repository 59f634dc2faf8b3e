#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Group/group_view.h"
#include "Home/home_types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace persimmonshelf {

// Identifies one connection to a backend server. Assigned by the engine and never reused.
using backend_connection_id = std::uint64_t;

// Requests the status of a member. The member answers once its log has passed `after`, or after
// `wait` at the latest.
struct watch_request
{
  log_position after;
  duration wait{};
};

// Makes a member reject all terms below `in_term`, on behalf of a candidate for primary.
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

// Sets the server that a member replicates from.
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

// Response to promote_request or follow_request.
struct role_change_reply
{
  bool done = false;
  // Highest term that the member has promised; zero if the response does not contain it.
  term promised;
};

// A complete response; monostate stands for a malformed one. The receiver fills in the times of a
// member_report.
using backend_reply =
  std::variant<std::monostate, member_report, fence_reply, role_change_reply, backend_answer>;

// A command from the engine to the backend adapter.
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
  // IP address and port, for `open`.
  std::string address;
  backend_message message;
  duration timeout{};
};

// An event on a connection, reported by the backend adapter.
struct backend_event
{
  enum class event_type : std::uint8_t
  {
    connected,
    connect_failed,
    answered,
    // No complete response arrived; the connection is closed.
    failed,
    // The connection closed while no request was in progress on it.
    closed,
  };

  event_type kind = event_type::closed;
  backend_connection_id connection = 0;
  backend_reply reply;
  bool may_have_been_sent = false;
  // For `failed`: true if the request timed out, false if the connection broke.
  bool timed_out = false;
  std::string reason;
};

}
