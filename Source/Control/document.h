#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/table.h"
#include "Control/document_row.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// An operator's edit of a document.
struct document_edit
{
  std::string content;
  // Version on which the edit is based; 0 for the first edit.
  config_version expected_version;
  std::string author;
  // Unique per edit. Running the same edit again with the same id never applies it twice.
  std::string edit_id;
  // Time after which the operator is informed that the outcome is not known.
  instant deadline;
};

// A versioned document stored in a row of the platform's table, with the version in force on this
// instance. Versions only increase, regardless of the order in which the table and the peers report
// them.
class document
{
public:
  using publish_callback = std::function<void(result<document_version>)>;

  struct hooks
  {
    table_hooks table;
    // Fails if the content must not come into force.
    std::function<result<void>(const std::string& content)> check;
    // Called when a version comes into force.
    std::function<void(config_version, const std::string& content)> in_force;
    // True if this instance polls the table on behalf of its zone.
    std::function<bool()> is_poller;
    // Called for each successful read of the row, with the version found and the time when the read
    // was sent. If the version is new, this is called after `in_force`. May be empty.
    std::function<void(config_version, instant sent_at)> table_read;
  };

  struct status
  {
    document_version in_force;
    // Time of the most recent successful read; none if the table was never read.
    std::optional<instant> last_read;
    // The newest refused version, or 0, and the reason. Cleared when a newer version comes into
    // force.
    config_version refused_version;
    std::string refused_reason;
    std::size_t pending_edits = 0;
  };

  // `row` is the row's key in the table, such as "config".
  document(std::string row, hooks callbacks);

  // Stores the edit if the row still has the expected version. Calls `report` once, from poll or
  // from a table response, with the new version or an error: config_invalid; config_conflict with
  // the version and author that came first; or platform_unavailable if the deadline passed. In the
  // last case, the message states whether the edit may have been accepted.
  void publish(document_edit edit, instant now, publish_callback report);

  // Must be called at least four times a second. Advances pending edits and reads the row when due.
  // A poller reads once a second. Another instance reads only after 2 s without a confirmation that
  // its version is current, and then every 2 s, or every 4 s while the table fails.
  void poll(instant now);

  // Takes a version from a peer. Fails with older_version or config_invalid; the version in force
  // then stays. A version that is already in force is not an error.
  result<void> offer(config_version version, const std::string& content);

  // Records that a read of the row at this time, by this instance or a peer, found no version above
  // the one in force. Until this confirmation expires, instances that are not pollers do not read
  // the row.
  void confirm_current(instant read_at);

  config_version version() const { return status_.in_force.version; }
  const std::string& content() const { return content_; }
  const status& state() const { return status_; }

private:
  struct pending_edit;
  using pending = std::shared_ptr<pending_edit>;

  result<void> apply(const document_row& received);
  void process_read(const document_row& found, instant sent_at);
  void read_for_poll(instant now);
  void read_for_edit(const pending& edit, instant now);
  void handle_edit_read(const pending& edit, const table_row& row, instant sent_at);
  void write(const pending& edit, const document_row& before, std::uint64_t revision);
  void handle_write_response(const pending& edit,
                             const document_row& after,
                             std::uint64_t call,
                             instant sent_at,
                             const result<table_write>& response);
  static void settle(const pending& edit, result<document_version> outcome);
  void advance_edit(const pending& edit, instant now);
  // Wraps a callback so that it does nothing after this object is destroyed.
  template<typename callback>
  auto guarded(callback call);

  std::string row_;
  hooks hooks_;
  instant now_;
  std::string content_;
  std::string refused_content_;
  status status_;
  std::vector<pending> edits_;
  std::optional<instant> read_sent_at_;
  bool last_read_failed_ = false;
  std::optional<instant> fresh_at_;
  std::shared_ptr<int> lifetime_token_ = std::make_shared<int>();
};

}
