#pragma once

#include "ProxyNode/line_stream.h"
#include "Resources/memory_budget.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace persimmonshelf {

// Messages of many sessions that wait for one shared connection. Each session has its own queue.
// The connection takes one message of each session in turn, and only while few bytes wait to be
// sent, so that one session delays the others by one message at most.
class relay_send_queue
{
public:
  // Opens the account of a session's queue. Optional.
  using account_opener = std::function<memory_budget::account(std::uint64_t session)>;

  explicit relay_send_queue(std::shared_ptr<line_stream> stream, account_opener open_account = {});

  // Appends a message with its end of line.
  void push(std::uint64_t session, std::string message);
  // Removes all messages of a session that wait.
  void discard(std::uint64_t session);
  // Passes messages on. Must be called after the connection has sent data.
  void pump();

  // Bytes of a session's messages that wait.
  std::size_t bytes_of(std::uint64_t session) const;
  bool empty() const { return queues_.empty(); }

private:
  struct session_queue
  {
    std::deque<std::string> messages;
    std::size_t bytes = 0;
    memory_budget::account account;
  };
  bool connection_has_room() const;

  std::shared_ptr<line_stream> stream_;
  account_opener open_account_;
  std::map<std::uint64_t, session_queue> queues_;
  // Session whose message was passed on last.
  std::uint64_t last_session_ = 0;
};

}
