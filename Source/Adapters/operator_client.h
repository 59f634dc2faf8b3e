#pragma once

#include "Base/instant.h"
#include "Net/http_connection.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace persimmonshelf {

// Exit codes of the command-line tool `persimmonshelf`.
enum class operator_exit
{
  ok = 0,
  // The instance returned a result code other than ok.
  refused = 1,
  usage = 2,
  // No valid response was received. A requested change may or may not have been made.
  unreachable = 3,
};

// A request to the operator address of an instance, and how to print the response.
struct operator_command
{
  std::string method = "GET";
  std::string target;
  std::string body;
  // Set for requests that change something. Repeating a request with the same id does not apply the
  // change again.
  std::string edit_id;
  // What to print on standard output on success. The content or key is printed without other
  // fields, which allows redirecting it to a file; the other fields go to standard error.
  enum class output
  {
    // All fields.
    fields,
    // The configuration text; its version goes to standard error.
    content,
    // The new key; the other fields go to standard error.
    key,
  };
  output print = output::fields;
};

// An edit of the configuration.
struct config_edit
{
  std::string content;
  std::string author;
  std::string edit_id;
  // Version that the edit is based on; empty for the newest version.
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

// Revokes a key by its value. Only the digest of the key is sent. Whitespace around the key is
// ignored.
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

// Output and exit code of a command.
struct operator_report
{
  operator_exit exit = operator_exit::ok;
  // Text for standard output.
  std::string output;
  // Text for standard error; never contains a workspace key.
  std::string notes;
};

// Blocking client of an instance's operator address for the command-line tool. Sends one command at
// a time and formats the response.
class operator_client
{
public:
  // If `raw` is set, responses are printed as JSON. `timeout` applies to the connection attempt and
  // to the response separately.
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
