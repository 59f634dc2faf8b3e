#pragma once

#include "Proxy/caller_session.h"
#include "ProxyNode/line_stream.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonshelf {

// Network side of one caller: reads its first message, then feeds statements to its session one at
// a time and writes the answers.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
  struct handlers
  {
    // Hooks for a new session; the answer hook is set by the connection.
    std::function<session_hooks()> session;
    // False while no configuration is known: sessions then wait to begin.
    std::function<bool()> can_begin;
    std::function<void()> closed;
    // Reports each answered statement and the time it took.
    std::function<void(const statement_answer&, duration)> answered;
  };

  static std::shared_ptr<caller_connection> create(boost::asio::ip::tcp::socket socket,
                                                   handlers calls);
  void start();
  void tick(instant now);

  // True if no statement is in flight and no transaction is open.
  bool idle() const;
  // True if no statement is in flight.
  bool resting() const;

  // Closes towards the caller and gives back what the session holds.
  void close();

private:
  caller_connection(boost::asio::ip::tcp::socket socket, handlers calls);
  void take_line(std::string_view line);
  void start_session();
  void next_statement();
  void answer(const statement_answer& reply);
  void ended();

  std::shared_ptr<line_stream> stream_;
  handlers handlers_;
  std::unique_ptr<caller_session> session_;
  // First message of a session that waits to begin, and since when.
  std::optional<std::string> first_line_;
  instant first_line_at_{};
  std::deque<std::string> waiting_;
  instant statement_began_{};
  bool handling_ = false;
  bool ended_ = false;
};

}
