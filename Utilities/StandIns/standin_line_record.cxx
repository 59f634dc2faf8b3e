#include "StandIns/standin_line_record.h"

#include "platform/base64.h"

#include <boost/json.hpp>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

std::string_view
name_of(standin_line_statement::operation kind)
{
  using operation = standin_line_statement::operation;
  switch (kind) {
    case operation::read:
      return "read";
    case operation::write:
      return "write";
    case operation::commit:
      return "commit";
    case operation::rollback:
      return "rollback";
    case operation::status:
      return "status";
    case operation::session:
      break;
  }
  return "session";
}

std::string_view
name_of(standin_line_record::reason why)
{
  using reason = standin_line_record::reason;
  switch (why) {
    case reason::fault:
      return "fault";
    case reason::failed_transaction:
      return "failed_transaction";
    case reason::refused_preparation:
      return "refused_preparation";
    case reason::message:
      break;
  }
  return "message";
}

json::object
entry_of(const standin_line_record::origin& from, std::string_view event)
{
  return { { "event", event }, { "member", from.member }, { "connection", from.connection } };
}

}

result<std::unique_ptr<standin_line_record>>
standin_line_record::create(const std::string& path)
{
  std::unique_ptr<standin_line_record> created(new standin_line_record(path));
  if (!created->file_) {
    return fail(result_code::internal_error, path + ": cannot be written");
  }
  return created;
}

standin_line_record::standin_line_record(const std::string& path)
  : file_(path, std::ios::trunc | std::ios::binary)
{
}

void
standin_line_record::ran(const origin& from,
                         const standin_line_statement& statement,
                         const standin_line_session& session,
                         std::string_view answer,
                         std::string_view ending)
{
  json::array settings;
  for (const auto& [name, value] : session.settings()) {
    settings.push_back(
      json::array{ platform::encode_base64(name), platform::encode_base64(value) });
  }
  auto entry = entry_of(from, "ran");
  entry["kind"] = name_of(statement.kind);
  entry["id"] = platform::encode_base64(statement.id);
  entry["text"] = platform::encode_base64(statement.text);
  entry["shape"] = platform::encode_base64(statement.shape);
  entry["item"] = platform::encode_base64(statement.item);
  entry["data"] = platform::encode_base64(statement.data);
  entry["settings"] = std::move(settings);
  entry["transaction"] = session.state() == 'I' ? 0 : session.transaction();
  entry["reads_only"] = session.state() != 'I' && session.reads_only();
  entry["answer"] = platform::encode_base64(answer);
  entry["ending"] = ending;
  file_ << json::serialize(entry) << '\n' << std::flush;
}

void
standin_line_record::refused(const origin& from,
                             std::string_view line,
                             std::string_view code,
                             reason why)
{
  auto entry = entry_of(from, "refused");
  entry["code"] = code;
  entry["reason"] = name_of(why);
  entry["line"] = platform::encode_base64(line);
  file_ << json::serialize(entry) << '\n' << std::flush;
}

void
standin_line_record::other_line(const origin& from, std::string_view event, std::string_view line)
{
  auto entry = entry_of(from, event);
  entry["line"] = platform::encode_base64(line);
  file_ << json::serialize(entry) << '\n' << std::flush;
}

}
