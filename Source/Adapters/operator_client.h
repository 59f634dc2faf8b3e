#pragma once

#include "Base/instant.h"
#include "Net/http_connection.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace persimmonshelf {

// Exit codes of the command-line tool.
enum class operator_exit
{
  ok = 0,
  // The instance answered with a result code other than ok.
  refused = 1,
  usage = 2,
  // No instance answered; a change may or may not have been made.
  unreachable = 3,
};

// One request to an instance's operator address and how to print its answer.
struct operator_command
{
  std::string method = "GET";
  std::string target;
  std::string body;
  // Not empty for changes: a repeated request with the same id changes nothing a second time.
  std::string edit_id;
  // What to print on success; `main` goes to standard output so that it can be redirected to a
  // file.
  enum class output
  {
    // All fields.
    fields,
    // The configuration text alone, with its version as a note.
    content,
    // The key alone, with the rest as a note.
    key,
  };
  output print = output::fields;
};

// How a configuration text is sent.
struct config_edit
{
  std::string content;
  std::string author;
  std::string edit_id;
  // Version that the edit is based on; without it the newest one.
  std::optional<std::uint64_t> expect;
  bool dry_run = false;
};

operator_command
show_config();
operator_command
diff_config(const std::string& content);
operator_command
set_config(const config_edit& edit);

operator_command
create_key(const std::string& workspace, const std::string& note, const std::string& edit_id);
operator_command
revoke_key(const std::string& digest_prefix, const std::string& edit_id);

// Sends only the digest of the key. White space around the key is ignored.
operator_command
revoke_key_by_value(const std::string& key, const std::string& edit_id);
operator_command
list_keys();

// Status of the fleet, or of one database or workspace; `kind` is "database" or "workspace".
operator_command
show_status();
operator_command
show_status(const std::string& kind, const std::string& name);
operator_command
show_account(const std::string& month);
operator_command
show_trace(const std::string& id);
operator_command
drain_instance();

// What the tool prints and how it ends.
struct operator_report
{
  operator_exit exit = operator_exit::ok;
  // For standard output.
  std::string output;
  // For standard error; never contains a workspace key.
  std::string notes;
};

// Sends operator requests to one instance, one at a time, and turns the answers into text. It
// blocks and is meant for the command-line tool.
class operator_client
{
public:
  // `raw` prints the answer's JSON instead of text.
  operator_client(tcp_address address, duration timeout, bool raw);

  operator_report run(const operator_command& command) const;

private:
  operator_report report_no_response(const operator_command& command,
                                     const http_failure& failure) const;
  operator_report format_response(const operator_command& command,
                                  const http_response& response) const;

  tcp_address address_;
  duration timeout_;
  bool raw_;
};

}
