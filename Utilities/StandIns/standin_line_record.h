#pragma once

#include "Base/error.h"
#include "StandIns/standin_line_session.h"

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Record of what the members of a stand-in received, one JSON object a line, for programs that
// compare it with what callers sent. Texts may hold any bytes, so they are base64. Lines are
// complete once the answer to the caller is on its way.
class standin_line_record
{
public:
  // Connection of a member on which something arrived.
  struct origin
  {
    std::string member;
    // Number of the connection, counted over all members of the stand-in.
    std::uint64_t connection = 0;
  };

  // Why a member refused a message.
  enum class reason : std::uint8_t
  {
    // The message itself, or what the connection holds.
    message,
    // A fault of the stand-in. The statement would have run otherwise.
    fault,
    // The transaction had failed before, so that only its end is accepted.
    failed_transaction,
    // A fault refused the preparation of the name that is executed.
    refused_preparation,
  };

  // Replaces the file. Fails with internal_error if it cannot be written.
  static result<std::unique_ptr<standin_line_record>> create(const std::string& path);

  // A statement that ran, with the settings and the transaction in force before it, the lines of
  // its answer without READY, and what ended the connection then: lost, cut (the answer did not
  // arrive or not all of it), closed, or nothing.
  void ran(const origin& from,
           const standin_line_statement& statement,
           const standin_line_session& session,
           std::string_view answer,
           std::string_view ending = {});

  // A QUERY message that did not run, with the protocol's error code.
  void refused(const origin& from,
               std::string_view line,
               std::string_view code,
               reason why = reason::message);

  // Any other line, as it arrived: the first one of a connection has the event "start", and later
  // ones, which the grammar does not know, have the event "line".
  void other_line(const origin& from, std::string_view event, std::string_view line);

private:
  explicit standin_line_record(const std::string& path);

  std::ofstream file_;
};

}
