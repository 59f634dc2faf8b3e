#pragma once

#include "Proxy/caller_session.h"
#include "Proxy/connection_pool.h"
#include "ProxyNode/line_stream.h"
#include "Resources/memory_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonshelf {

// Connection to one member. Connects, sends the start message, sends commands and collects the
// answers in order. Any unexpected message closes the connection.
class member_connection : public std::enable_shared_from_this<member_connection>
{
public:
  using reply_handler = std::function<void(member_reply)>;
  struct handlers
  {
    std::function<void()> opened;
    // `too_many_connections` is true if the member refused because of its connection limit.
    std::function<void(bool too_many_connections, const std::string& reason)> closed;
  };
  // Address of the member and the fields of the start message.
  struct connection_target
  {
    std::string address;
    std::string group;
    std::string workspace;
    std::string member;
  };

  static std::shared_ptr<member_connection> create(boost::asio::io_context& context,
                                                   connection_target target,
                                                   handlers callbacks);
  // `account` is charged with what is received from the member.
  void open(duration timeout, memory_budget::account account = {});
  // A command that cannot be sent is answered once those before it are.
  void send(const member_command& command, reply_handler done);

  const std::string& member() const { return target_.member; }
  // When the oldest unanswered command was sent.
  std::optional<instant> oldest_pending_since() const;

  // Closes the connection without calling handlers. Outstanding replies are dropped.
  void close();

private:
  struct pending
  {
    reply_handler done;
    member_reply reply;
    bool answered = false;
  };

  member_connection(boost::asio::io_context& context, connection_target target, handlers callbacks);
  void handle_connected(const boost::system::error_code& failure);
  void handle_line(std::string_view line);
  void handle_failure(const std::string& reason);
  void answer_unsent();

  boost::asio::io_context& context_;
  connection_target target_;
  handlers handlers_;
  std::shared_ptr<line_stream> stream_;
  boost::asio::steady_timer open_timer_;
  std::deque<pending> pending_;
  // State of the connection after the newest answer.
  transaction_state state_ = transaction_state::idle;
  memory_budget::account account_;
  // Bytes of the rows of the present answer.
  std::size_t row_bytes_ = 0;
  bool ready_ = false;
  bool closed_ = false;
  bool too_many_connections_ = false;
};

}
