#pragma once

#include "Checks/Statements/hostile_text.h"
#include "Checks/Statements/sent_statements.h"
#include "Net/http_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf::checks {

// Which prepared statements callers use.
enum class prepared_use : std::uint8_t
{
  none,
  // Shapes without blanks.
  plain,
  any,
};

struct caller_options
{
  tcp_address address;
  std::vector<std::string> databases;
  // Databases that anyone may use. Callers go there without a key or with an unknown one.
  std::vector<std::string> open_databases;
  std::string key;
  std::chrono::steady_clock::time_point end;
  // Most statements of the caller.
  std::uint64_t statements = 0;
  prepared_use prepared = prepared_use::any;
  // Share of the statements near the longest message, of 1,000.
  unsigned long_per_thousand = 0;
};

// Counts of a run, over all callers.
struct caller_totals
{
  std::uint64_t sessions = 0;
  std::uint64_t refused_sessions = 0;
  std::uint64_t lost_sessions = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t transactions = 0;
  std::uint64_t long_statements = 0;
  std::uint64_t sent_ahead = 0;
  // Statements whose caller left before the answer.
  std::uint64_t left_unanswered = 0;
  // Statements that members ran and that were answered with DONE, by address.
  std::map<std::string, std::uint64_t> done;
  std::map<std::string, std::uint64_t> codes;
  std::vector<std::string> violations;
};

// A caller that runs sessions of random statements, one after another, and keeps what it sent.
class statement_caller
{
public:
  statement_caller(boost::asio::io_context& context,
                   caller_options options,
                   std::uint64_t seed,
                   sent_statements& sent,
                   caller_totals& totals);
  statement_caller(const statement_caller&) = delete;
  statement_caller& operator=(const statement_caller&) = delete;

  // Runs until the end of the options. Must be called once.
  boost::asio::awaitable<void> run();

private:
  using tcp = boost::asio::ip::tcp;
  struct prepared_statement
  {
    bool writes = false;
    std::string shape;
  };
  // A statement that changes the session, and what it changes once it was answered with DONE.
  struct session_change
  {
    sent_statement statement;
    std::function<void()> apply;
  };
  bool may_go_on() const;
  boost::asio::awaitable<void> pause(std::size_t max_ms);
  boost::asio::awaitable<bool> start_session();
  boost::asio::awaitable<void> run_session();
  boost::asio::awaitable<void> run_transaction();
  boost::asio::awaitable<void> run_statement();
  boost::asio::awaitable<void> run_ahead();
  boost::asio::awaitable<void> leave_unanswered();
  boost::asio::awaitable<void> change_session();
  boost::asio::awaitable<void> leave();
  // Statements of the next message, with everything but the id.
  sent_statement next_ordinary();
  sent_statement next_read_or_write();
  sent_statement next_execution();
  sent_statement next_long_statement();
  sent_statement next_malformed();
  session_change next_change();
  std::string next_id();
  sent_statement& add(sent_statement next);
  // Sends the statement and waits for its answer. The session has no open socket afterwards if no
  // answer came. Returns the statement with its outcome.
  boost::asio::awaitable<const sent_statement*> exchange(sent_statement next);
  boost::asio::awaitable<bool> send(std::string_view message);
  boost::asio::awaitable<void> receive(sent_statement& entry);
  // Next line without its end; empty if the connection ended.
  boost::asio::awaitable<std::string> receive_line();
  void close();

  boost::asio::io_context& context_;
  caller_options options_;
  hostile_text text_;
  sent_statements& sent_;
  caller_totals& totals_;
  tcp::socket socket_;
  boost::asio::steady_timer deadline_;
  std::string buffer_;
  std::uint64_t count_ = 0;
  // State of the session.
  char state_ = 'I';
  std::uint64_t transaction_ = 0;
  bool reads_only_ = false;
  std::shared_ptr<const session_values> values_;
  std::map<std::string, prepared_statement> prepared_;
};

}
