#pragma once

#include "Base/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace persimmonshelf {

// One statement that a member runs, with the prepared statement that its name stands for.
struct standin_line_statement
{
  enum class operation : std::uint8_t
  {
    // Changed the session only.
    session,
    read,
    write,
    commit,
    rollback,
    status,
  };
  operation kind = operation::session;
  // The caller's id; "-" for the proxy's own statements.
  std::string id;
  // Text as it arrived, without the position that may precede it.
  std::string text;
  // Shape of the prepared statement that is executed; empty for any other statement.
  std::string shape;
  std::string item;
  std::string data;
};

// State that a member keeps for one connection of the line protocol. Messages are read strictly by
// the grammar: a field ends at a blank, and only the last one extends to the end of the line.
class standin_line_session
{
public:
  // Reads a message without its end of line, and applies what concerns the session only. Fails with
  // the protocol's error code as the message; the statement has not run then.
  result<standin_line_statement> apply(std::string_view line);

  // Ends the open or failed transaction.
  void end_transaction() { state_ = 'I'; }

  // A statement failed. Only the end of an open transaction is accepted from then on.
  void fail_transaction() { state_ = state_ == 'I' ? 'I' : 'E'; }

  // State letter of READY: I (idle), T (open transaction) or E (failed transaction).
  char state() const { return state_; }
  // Number of the open transaction, counted on this connection from 1; the last one's if none is.
  std::uint64_t transaction() const { return transaction_; }
  // True if that transaction was begun for reading.
  bool reads_only() const { return reads_only_; }
  const std::map<std::string, std::string>& settings() const { return settings_; }
  std::size_t prepared_count() const { return prepared_.size(); }

private:
  struct prepared_shape
  {
    bool writes = false;
    std::string shape;
  };
  result<void> apply_text(standin_line_statement& statement);
  result<void> execute(standin_line_statement& statement, std::string_view rest);
  result<void> prepare(std::string_view rest);

  char state_ = 'I';
  std::uint64_t transaction_ = 0;
  bool reads_only_ = false;
  std::map<std::string, std::string> settings_;
  std::map<std::string, prepared_shape> prepared_;
};

}
