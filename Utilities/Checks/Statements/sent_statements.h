#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace persimmonshelf::checks {

using session_values = std::map<std::string, std::string>;

// One statement of a caller, and what the caller was told of it.
struct sent_statement
{
  enum class operation : std::uint8_t
  {
    read,
    write,
    execute,
    commit,
    // Any other statement.
    session,
  };
  enum class result : std::uint8_t
  {
    // No complete answer arrived.
    unknown,
    done,
    failed,
  };
  std::string id;
  operation kind = operation::session;
  std::string text;
  // Of an execution: the prepared statement that the caller's name stands for, and the arguments.
  std::string shape;
  bool shape_writes = false;
  std::string arguments;
  // Values of the session when it was sent.
  std::shared_ptr<const session_values> values;
  // Number of the transaction over all callers; 0 outside of one.
  std::uint64_t transaction = 0;
  bool reads_only = false;
  // False if a member must refuse it by the grammar.
  bool well_formed = true;
  // True if other statements were sent and not answered yet. The state is unknown to the caller
  // then.
  bool ahead = false;
  // False if the caller left before it had sent the whole message.
  bool complete = true;
  result outcome = result::unknown;
  // Error code if it failed.
  std::string code;
  // Lines of the answer without READY.
  std::string answer;
};

// All statements that the callers of a run sent, by id.
class sent_statements
{
public:
  // Adds a statement with an id that no other one has. The reference stays valid.
  sent_statement& add(sent_statement statement)
  {
    auto id = statement.id;
    return entries_.insert_or_assign(std::move(id), std::move(statement)).first->second;
  }
  const sent_statement* find(const std::string& id) const
  {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
  }
  const std::unordered_map<std::string, sent_statement>& entries() const { return entries_; }
  std::uint64_t next_transaction() { return ++transactions_; }
  std::uint64_t next_number() { return ++numbers_; }

private:
  std::unordered_map<std::string, sent_statement> entries_;
  std::uint64_t transactions_ = 0;
  std::uint64_t numbers_ = 0;
};

}
