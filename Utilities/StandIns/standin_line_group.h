#pragma once

#include "Base/error.h"
#include "Net/http_connection.h"
#include "StandIns/standin_line_faults.h"
#include "StandIns/standin_line_record.h"
#include "StandIns/standin_line_session.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// Simulates one replicated group of database members that speak the line protocol. All members
// share one set of items, so a replica is never behind. Members are neither replaced nor paused.
class standin_line_group
{
public:
  struct member
  {
    std::string id;
    tcp_address address;
    bool primary = false;
  };
  struct options
  {
    std::string name;
    std::vector<member> members;
    // Time that a member takes for each statement.
    std::chrono::milliseconds statement_time{ 0 };
    // File in which the members record what they receive. Empty for none.
    std::string record = {};
    standin_line_faults::options faults = {};
  };

  // Fails with address_unavailable if the address of a member cannot be bound, and with
  // internal_error if the record cannot be written.
  static result<std::unique_ptr<standin_line_group>> create(boost::asio::io_context& context,
                                                            options group);

private:
  using tcp = boost::asio::ip::tcp;
  // State of one connection.
  struct session
  {
    const member* serving = nullptr;
    standin_line_record::origin origin;
    standin_line_session line;
    // Writes of the open transaction.
    std::map<std::string, std::string> writes;
    // Names whose preparation was refused by a fault, and that stand for nothing since.
    std::set<std::string, std::less<>> unprepared;
  };
  // Answer of one message with the fault that changes how it is sent.
  struct reply
  {
    std::string text;
    standin_line_faults::fault fault;
  };

  standin_line_group(boost::asio::io_context& context, options group);
  result<void> listen(const member& entry);
  boost::asio::awaitable<void> accept(tcp::acceptor& acceptor, const member& entry);
  boost::asio::awaitable<void> serve(tcp::socket socket, const member& entry);
  std::string ready(const session& current) const;
  std::string status_row(const member& entry) const;
  // Runs the statement of one message and returns the lines of its answer, without READY.
  reply execute(session& current, std::string_view line);
  std::string refuse(session& current,
                     std::string_view line,
                     std::string_view code,
                     standin_line_record::reason why);
  // Sends the answer as far as the fault lets it through. Returns false if the connection ends.
  boost::asio::awaitable<bool> send(tcp::socket& socket, reply answer);
  std::string run_statement(session& current, const standin_line_statement& statement);
  void record_other_line(const session& current, std::string_view event, std::string_view line);
  std::string read(const session& current, const std::string& item) const;
  std::string write(session& current, const standin_line_statement& statement);
  std::string end_transaction(session& current, bool commit);

  boost::asio::io_context& context_;
  options options_;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
  std::unique_ptr<standin_line_record> record_;
  standin_line_faults faults_;
  std::uint64_t connections_ = 0;
  std::map<std::string, std::string> items_;
  // Number of committed transactions, which is the position in the only term.
  std::uint64_t position_ = 1;
};

}
