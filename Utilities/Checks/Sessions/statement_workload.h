#pragma once

#include "Proxy/caller_session.h"
#include "StandIns/standin_line_session.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace persimmonshelf {

// Sessions of one workspace that share the connections of a pool to members that read each message
// strictly. Compares each statement that a member runs with what its caller sent and had set up.
class statement_workload
{
public:
  explicit statement_workload(std::uint32_t seed);

  // Sends one line of a caller and answers everything that follows from it, without faults.
  void send(std::size_t caller, const std::string& text);
  // Sends the statement if the caller waits for none. Answers nothing.
  void begin(std::size_t caller, const std::string& text);
  // Runs random statements with random texts, and random faults of members, until all ended.
  void run_random(int steps);

  // The last answer to the caller; empty if there is none.
  std::optional<statement_answer> last_answer(std::size_t caller) const;

  // What members ran otherwise than its callers sent it, one a line.
  std::string violations;
  // Number of the statements that members ran.
  std::size_t executed = 0;

private:
  struct expected_statement
  {
    std::string text;
    std::string shape;
    std::map<std::string, std::string> settings;
    bool in_transaction = false;
  };
  struct caller_state
  {
    std::unique_ptr<caller_session> session;
    std::map<std::string, std::string> settings;
    std::map<std::string, std::string> shapes;
    statement current;
    std::vector<statement_answer> answers;
  };
  struct sent_command
  {
    member_command command;
    std::function<void(member_reply)> done;
  };
  struct connection
  {
    standin_line_session member;
    std::deque<sent_command> commands;
  };

  void connect(std::size_t index);
  void answered(caller_state& to, const statement_answer& answer);
  void open_connections();
  bool run_command(connection_number number, double fault_rate);
  bool run_any_command(double fault_rate);
  void lose(connection_number number);
  void report(const std::string& violation);
  void check(const connection& at, const standin_line_statement& ran);
  std::string random_text();
  std::string random_statement();
  std::size_t draw(std::size_t end);

  std::mt19937 random_;
  instant now_{};
  configuration_index configuration_;
  connection_pool pool_;
  std::deque<connection_number> opening_;
  std::map<connection_number, connection> connections_;
  std::map<std::string, expected_statement> expected_;
  std::vector<caller_state> callers_;
  std::uint64_t last_id_ = 0;
};

}
