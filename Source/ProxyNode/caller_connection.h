#pragma once

#include "Proxy/statement.h"
#include "ProxyNode/line_stream.h"
#include "ProxyNode/session_handle.h"
#include "Resources/connection_budget.h"
#include "Resources/memory_budget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonshelf {

// Connection of one caller. Passes its messages to its session, each once the one before was
// answered and the caller reads its answers, and writes the answers.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
  struct handlers
  {
    // Begins the session on this instance or on a carrier, given the caller's first message.
    // Returns an empty value until the carrier plan is decided; the caller then waits.
    std::function<std::optional<session_handle>(const std::string& first_line, caller_output)>
      begin_session;
    // The connection ended, after the last answer was sent.
    std::function<void()> closed;
    // An unexpected error ended the session while it handled this message of the caller. The
    // message is empty if the session's timer failed.
    std::function<void(std::string_view line, const std::string& what)> session_failed;
    // The session ended before it answered this number of requests. Optional.
    std::function<void(std::uint64_t unanswered)> requests_abandoned = {};
    // Opens the account for the bytes that this connection holds. Optional.
    std::function<memory_budget::account(std::function<void()> end)> open_account = {};
    // Takes a place among the connections of callers. Optional.
    std::function<connection_budget::place(std::function<void()> end)> open_place = {};
    // The connection is closed because the caller reached a limit. Optional.
    std::function<void(std::string_view cause)> limited = {};
  };

  static std::shared_ptr<caller_connection> create(boost::asio::ip::tcp::socket socket,
                                                   handlers callbacks);
  void start();
  void tick(instant now);

  // True if no statement is in flight and no transaction is open.
  bool idle() const { return inactive(false); }
  // True if the session runs on this instance.
  bool local() const { return session_ && session_->local; }
  // The caller's first message; empty before it.
  std::string first_line() const { return first_line_.value_or(""); }

  // Disconnects the session and closes the connection after pending writes. Requests that the
  // session did not answer are answered first: their outcome is unknown.
  void close();
  // Closes the connection if no statement is in flight, and no transaction is open unless
  // `include_transactions` is true. Requests that have arrived by now are handled instead.
  void close_if_inactive(bool include_transactions);
  // Answers the statements in flight with what is known about them, and closes the connection.
  void give_up();

  // Time limit for the first message.
  static constexpr duration start_timeout = std::chrono::seconds(30);
  // Longest first message, in bytes. Names of databases and API keys are far shorter, and the
  // message is kept as long as the session.
  static constexpr std::size_t max_start_bytes = 16 << 10;

private:
  caller_connection(boost::asio::ip::tcp::socket socket, handlers callbacks);
  void receive_line(std::string_view line);
  void handle_line(std::string_view line);
  void write(std::string_view text);
  void refuse_start(statement_error error, std::string_view text);
  void answer_abandoned_requests();
  std::uint64_t count_undelivered() const;
  void release_next_request();
  void end_for_limit(std::string_view cause);
  void check_limits(instant now);
  bool inactive(bool include_transactions) const;
  void tick_session(instant now);
  void begin_session();
  void handle_closed();

  std::shared_ptr<line_stream> stream_;
  handlers handlers_;
  std::optional<session_handle> session_;
  // First message of a session that has not begun yet, and when it was received.
  std::optional<std::string> first_line_;
  instant first_line_received_at_{};
  connection_budget::place place_;
  // When the connection was accepted, as far as tick() has seen.
  std::optional<instant> accepted_at_;
  instant next_place_update_{};
  // True once the caller's first message was answered.
  bool start_answered_ = false;
  // True if that answer refused the session.
  bool refused_ = false;
  // True once the caller announced that it sends no further requests.
  bool ended_by_caller_ = false;
  // Requests after the first message that have no answer yet.
  std::uint64_t unanswered_ = 0;
  // True if this instance stops and answers requests that it has not begun.
  bool giving_up_ = false;
  bool closing_ = false;
  bool closed_ = false;
};

}
