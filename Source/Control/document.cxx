#include "Control/document.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration poll_interval = std::chrono::seconds(1);
// Read intervals of instances that are not pollers. The interval is longer after a failed read,
// because the table is shared by all users and the whole fleet polls during an outage.
constexpr duration fallback_interval = std::chrono::seconds(2);
constexpr duration interval_after_failure = std::chrono::seconds(4);
constexpr duration fresh_limit = std::chrono::seconds(2);
// A call without a response after this time counts as lost.
constexpr duration response_timeout = std::chrono::seconds(1);
constexpr duration retry_interval = std::chrono::milliseconds(200);
// Number of earlier versions kept in the row. They make it possible to recognise an edit as
// accepted if its response was lost and other edits followed.
constexpr std::size_t max_earlier_versions = 32;

std::string
version_text(config_version version)
{
  return std::to_string(version.get());
}

}

struct document::pending_edit
{
  document_edit edit;
  publish_callback report;
  bool settled = false;
  // True after a write was sent that got no response or failed.
  bool may_be_written = false;
  // State of the last call: whether it is in flight, whether it is a write, and when it was sent.
  // Responses to earlier calls are recognised by their call number.
  bool in_flight = false;
  bool writing = false;
  instant call_sent_at;
  std::uint64_t call = 0;
};

document::document(std::string row, hooks callbacks)
  : row_(std::move(row))
  , hooks_(std::move(callbacks))
{
}

template<typename callback>
auto
document::guarded(callback call)
{
  return [lifetime = std::weak_ptr<int>(lifetime_token_), call = std::move(call)](auto response) {
    if (!lifetime.expired()) {
      call(std::move(response));
    }
  };
}

result<void>
document::apply(const document_row& received)
{
  const auto wanted = received.version.version;
  if (wanted < version()) {
    return fail(result_code::older_version,
                "row " + row_ + ": version " + version_text(wanted) + " is older than version " +
                  version_text(version()) + " in force");
  }
  if (wanted == version()) {
    if (status_.in_force.edit_id.empty()) {
      status_.in_force = received.version;
    }
    return success();
  }
  // A poll returns the same invalid content each time, so it is checked only once.
  if (wanted == status_.refused_version && received.content == refused_content_) {
    return fail(result_code::config_invalid, status_.refused_reason);
  }
  const auto checked = hooks_.check(received.content);
  if (!checked) {
    if (wanted >= status_.refused_version) {
      status_.refused_version = wanted;
      status_.refused_reason = checked.error().message;
      refused_content_ = received.content;
    }
    return fail(result_code::config_invalid, checked.error().message);
  }
  status_.in_force = received.version;
  content_ = received.content;
  if (status_.refused_version <= wanted) {
    status_.refused_version = config_version(0);
    status_.refused_reason.clear();
    refused_content_.clear();
  }
  hooks_.in_force(wanted, content_);
  return success();
}

result<void>
document::offer(config_version version, const std::string& content)
{
  document_row received;
  received.version.version = version;
  received.content = content;
  return apply(received);
}

void
document::confirm_current(instant read_at)
{
  fresh_at_ = std::max(fresh_at_, std::optional(read_at));
}

void
document::process_read(const document_row& found, instant sent_at)
{
  const auto applied = apply(found);
  if (!applied && applied.error().code == result_code::older_version) {
    // A table that has lost versions does not prove that there is no newer one.
    return;
  }
  status_.last_read = std::max(status_.last_read, std::optional(sent_at));
  if (applied) {
    confirm_current(sent_at);
  }
  if (hooks_.table_read) {
    hooks_.table_read(found.version.version, sent_at);
  }
}

void
document::poll(instant now)
{
  now_ = now;
  // Copied because a report callback may start another edit.
  const auto edits = edits_;
  for (const auto& edit : edits) {
    advance_edit(edit, now);
  }
  std::erase_if(edits_, [](const auto& edit) { return edit->settled; });
  status_.pending_edits = edits_.size();
  read_for_poll(now);
}

void
document::read_for_poll(instant now)
{
  // `is_poller` is called only after this check, because choosing the pollers visits all instances.
  if (read_sent_at_ && now - *read_sent_at_ < poll_interval) {
    return;
  }
  const bool poller = hooks_.is_poller();
  const bool fresh = fresh_at_ && now - *fresh_at_ <= fresh_limit;
  if (!poller && fresh) {
    return;
  }
  auto interval = poller ? poll_interval : fallback_interval;
  if (last_read_failed_ && !poller) {
    interval = interval_after_failure;
  }
  if (read_sent_at_ && now - *read_sent_at_ < interval) {
    return;
  }
  read_sent_at_ = now;
  // Stays set if no response arrives.
  last_read_failed_ = true;
  hooks_.table.get(row_, guarded([this, now](const result<table_row>& response) {
                     if (!response) {
                       return;
                     }
                     last_read_failed_ = false;
                     const auto found = document_row::parse(response.value());
                     if (!found) {
                       status_.refused_reason = found.error().message;
                       return;
                     }
                     process_read(found.value(), now);
                   }));
}

void
document::publish(document_edit edit, instant now, publish_callback report)
{
  now_ = now;
  const auto checked = hooks_.check(edit.content);
  if (!checked) {
    report(checked.error());
    return;
  }
  auto started = std::make_shared<pending_edit>();
  started->edit = std::move(edit);
  started->report = std::move(report);
  edits_.push_back(started);
  status_.pending_edits = edits_.size();
  read_for_edit(started, now);
}

void
document::advance_edit(const pending& edit, instant now)
{
  if (edit->settled) {
    return;
  }
  if (now >= edit->edit.deadline) {
    const bool unknown = edit->may_be_written || (edit->in_flight && edit->writing);
    settle(edit,
           fail(result_code::platform_unavailable,
                unknown ? "row " + row_ + ": may have been accepted, run the command again"
                        : "row " + row_ + ": the table did not answer, nothing was written"));
    return;
  }
  if (edit->in_flight && now - edit->call_sent_at >= response_timeout) {
    edit->may_be_written = edit->may_be_written || edit->writing;
    read_for_edit(edit, now);
    return;
  }
  if (!edit->in_flight && now - edit->call_sent_at >= retry_interval) {
    read_for_edit(edit, now);
  }
}

void
document::read_for_edit(const pending& edit, instant now)
{
  edit->in_flight = true;
  edit->writing = false;
  edit->call_sent_at = now;
  const auto call = ++edit->call;
  hooks_.table.get(row_, guarded([this, edit, call, now](const result<table_row>& response) {
                     if (edit->settled || edit->call != call) {
                       return;
                     }
                     edit->in_flight = false;
                     if (response) {
                       handle_edit_read(edit, response.value(), now);
                     }
                   }));
}

// Handles the current row of a pending edit: the edit is already in it, another edit came first, or
// the edit still has to be written.
void
document::handle_edit_read(const pending& edit, const table_row& row, instant sent_at)
{
  const auto parsed = document_row::parse(row);
  if (!parsed) {
    settle(edit, parsed.error());
    return;
  }
  const auto& found = parsed.value();
  process_read(found, sent_at);
  const auto is_own = [&](const document_version& version) {
    return version.edit_id == edit->edit.edit_id && version.author == edit->edit.author;
  };
  if (is_own(found.version)) {
    settle(edit, found.version);
    return;
  }
  const auto earlier = std::find_if(found.earlier.begin(), found.earlier.end(), is_own);
  if (earlier != found.earlier.end()) {
    // The row already has newer content. If this instance refuses that content, the edit's own
    // content comes into force.
    (void)apply({ *earlier, edit->edit.content, {} });
    settle(edit, *earlier);
    return;
  }
  if (found.version.version != edit->edit.expected_version) {
    settle(edit,
           fail(result_code::config_conflict,
                "row " + row_ + ": the current version is " + version_text(found.version.version) +
                  " by \"" + found.version.author + "\", the edit was made from version " +
                  version_text(edit->edit.expected_version)));
    return;
  }
  write(edit, found, row.revision);
}

void
document::write(const pending& edit, const document_row& before, std::uint64_t revision)
{
  document_row after;
  after.version = { config_version(before.version.version.get() + 1),
                    edit->edit.author,
                    edit->edit.edit_id };
  after.content = edit->edit.content;
  after.earlier = before.earlier;
  if (revision != 0) {
    after.earlier.insert(after.earlier.begin(), before.version);
  }
  after.earlier.resize(std::min(after.earlier.size(), max_earlier_versions));
  edit->in_flight = true;
  edit->writing = true;
  edit->call_sent_at = now_;
  const auto call = ++edit->call;
  const auto sent_at = now_;
  hooks_.table.put(row_,
                   after.format(),
                   revision,
                   guarded([this, edit, after, call, sent_at](const result<table_write>& response) {
                     handle_write_response(edit, after, call, sent_at, response);
                   }));
}

void
document::handle_write_response(const pending& edit,
                                const document_row& after,
                                std::uint64_t call,
                                instant sent_at,
                                const result<table_write>& response)
{
  if (edit->settled) {
    return;
  }
  if (response && response.value().written) {
    // The write succeeded, even if its response arrived after the call was considered lost.
    process_read(after, sent_at);
    settle(edit, after.version);
    return;
  }
  if (!response) {
    edit->may_be_written = true;
  }
  if (edit->call != call) {
    return;
  }
  edit->in_flight = false;
  if (response) {
    handle_edit_read(edit, response.value().row, sent_at);
  }
}

void
document::settle(const pending& edit, result<document_version> outcome)
{
  edit->settled = true;
  edit->in_flight = false;
  const auto report = std::move(edit->report);
  report(std::move(outcome));
}

}
