#pragma once

#include "Base/error.h"
#include "Checks/Statements/sent_statements.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace persimmonshelf::checks {

// Compares the record of the members with what the callers sent and were told. Each difference is a
// violation with the name of its kind.
class record_comparison
{
public:
  struct violation
  {
    std::string kind;
    std::string text;
  };
  // The sent statements must outlive the comparison.
  explicit record_comparison(const sent_statements& sent);

  // Reads the whole record, see standin_line_record. Fails with bad_request if a line cannot be
  // parsed.
  result<void> read(const std::string& path);
  // Compares what the callers were told with what was read. Must be called once, after read().
  void check_answers();

  const std::vector<violation>& violations() const { return violations_; }
  // Caller's statements that ran, by kind, and messages that members refused, by code.
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

private:
  // Transaction on a member's connection: the connection and the transaction's number on it.
  using member_transaction = std::pair<std::uint64_t, std::uint64_t>;
  // What the record says of one statement of a caller.
  struct run
  {
    std::uint64_t count = 0;
    // Answer of the last run.
    std::string answer;
    // A COMMIT whose transaction had failed at the member before.
    bool rolled_back = false;
  };
  void report(std::string kind, std::string text);
  void compare_run(const boost::json::object& entry);
  void compare_text(const sent_statement& sent,
                    const boost::json::object& entry,
                    const std::string& description);
  void compare_transaction(const sent_statement& sent,
                           const boost::json::object& entry,
                           const std::string& description);
  void compare_refusal(const boost::json::object& entry);
  void compare_start(const boost::json::object& entry);
  void check_answer(const sent_statement& sent);

  const sent_statements& sent_;
  std::vector<violation> violations_;
  std::map<std::string, std::uint64_t> counts_;
  std::unordered_map<std::string, run> runs_;
  // Ids that a member refused as malformed or as naming no prepared statement.
  std::unordered_set<std::string> refused_;
  std::map<std::uint64_t, member_transaction> transactions_;
  std::map<member_transaction, std::uint64_t> callers_of_;
  // Transactions in which a write ran.
  std::unordered_set<std::uint64_t> wrote_;
};

}
