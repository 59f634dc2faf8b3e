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

// An operator's change of a document.
struct document_edit
{
  std::string content;
  // Version that the change was made from; 0 for the first.
  config_version expected_version;
  std::string author;
  // Unique per change. Running the same change again with the same id never applies it twice.
  std::string edit_id;
  // Time after which the operator is told that the outcome is not known.
  instant deadline;
};

// One versioned document in a row of the platform's table, with the copy that is in force here.
// Versions only rise, whatever the order in which the table and the peers report them.
class document
{
public:
  using publish_callback = std::function<void(result<document_version>)>;

  struct hooks
  {
    table_hooks table;
    // Fails if the content must not come into force.
    std::function<result<void>(const std::string& content)> check;
    // A version came into force.
    std::function<void(config_version, const std::string& content)> in_force;
    // True if this instance polls the table on behalf of its zone.
    std::function<bool()> is_poller;
    // Each answered read of the row: its version, and the time when the read was sent. Called after
    // `in_force` if the version is new. May be empty.
    std::function<void(config_version, instant sent_at)> table_read;
  };

  struct status
  {
    document_version in_force;
    // Time of the youngest answered read; none if the table was never read.
    std::optional<instant> last_read;
    // The newest version that was refused, 0 for none, and why; cleared by a newer one in force.
    config_version refused_version;
    std::string refused_reason;
    std::size_t pending_edits = 0;
  };

  // `row` is the key in the table, such as "config".
  document(std::string row, hooks callbacks);

  // Stores the edit if the row still has the expected version. Reports once, from poll or a table
  // answer: the version; config_invalid; config_conflict with the version and author that came
  // first; or platform_unavailable when the deadline passed. In the last case the message states
  // whether the edit may have been accepted.
  void publish(document_edit edit, instant now, publish_callback report);

  // To be called at least four times a second: drives pending edits and reads the row if due. A
  // poller reads once a second; another instance reads only when it has heard no fresh version for
  // 2 s, every 2 s, or every 4 s while the table fails.
  void poll(instant now);

  // A version from a peer. Fails with older_version or config_invalid; the version in force then
  // stays. The one that is in force already is no failure.
  result<void> offer(config_version version, const std::string& content);

  // A peer's read of the row at this time found no version above the one in force. Spares this
  // instance its own read.
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
  // Wraps a callback so that it does nothing after this object is gone.
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
