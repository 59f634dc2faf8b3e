#include "StandIns/standin_line_session.h"

#include "platform/line_protocol.h"

#include <optional>

namespace persimmonshelf {

namespace {

using operation = standin_line_statement::operation;

constexpr std::string_view line_end = "\r\n";

auto
malformed()
{
  return fail(result_code::bad_request, "MALFORMED");
}

// Removes and returns a field that another one follows. Empty if there is none: the field is empty,
// or the last one.
std::optional<std::string_view>
take_field(std::string_view& rest)
{
  const auto end = rest.find(' ');
  if (end == std::string_view::npos || end == 0) {
    return std::nullopt;
  }
  const auto field = rest.substr(0, end);
  rest.remove_prefix(end + 1);
  return field;
}

}

result<standin_line_statement>
standin_line_session::apply(std::string_view line)
{
  if (line.size() + line_end.size() > platform::line_limit_bytes ||
      line.find(line_end) != std::string_view::npos) {
    return malformed();
  }
  auto rest = line;
  const auto word = take_field(rest);
  const auto id = take_field(rest);
  if (word != "QUERY" || !id) {
    return malformed();
  }
  standin_line_statement statement;
  statement.id = *id;
  if (auto text = rest; take_field(text) == "AFTER") {
    if (!take_field(text)) {
      return malformed();
    }
    rest = text;
  }
  statement.text = rest;
  if (state_ == 'E' && rest != "ROLLBACK" && rest != "COMMIT") {
    return malformed();
  }
  BOOST_OUTCOME_TRYV(apply_text(statement));
  return statement;
}

result<void>
standin_line_session::apply_text(standin_line_statement& statement)
{
  std::string_view rest = statement.text;
  if (rest == "COMMIT" || rest == "ROLLBACK") {
    // The end of a failed transaction rolls back.
    statement.kind = rest == "COMMIT" && state_ != 'E' ? operation::commit : operation::rollback;
    return state_ == 'I' ? result<void>(malformed()) : success();
  }
  if (rest == "BEGIN" || rest == "BEGIN READ") {
    if (state_ != 'I') {
      return malformed();
    }
    state_ = 'T';
    ++transaction_;
    reads_only_ = rest != "BEGIN";
    return success();
  }
  if (rest == "RESET") {
    settings_.clear();
    prepared_.clear();
    return success();
  }
  const auto word = take_field(rest);
  if (rest == "STATUS" || word == "PAUSE" || word == "DEMOTE") {
    statement.kind = operation::status;
    return success();
  }
  if (!word || rest.empty()) {
    return malformed();
  }
  if (*word == "READ") {
    statement.kind = operation::read;
    statement.item = rest;
    return success();
  }
  if (*word == "EXECUTE") {
    return execute(statement, rest);
  }
  if (*word == "PREPARE") {
    return prepare(rest);
  }
  if (*word == "DEALLOC") {
    prepared_.erase(std::string(rest));
    return success();
  }
  const auto name = take_field(rest);
  if (!name || (*word != "WRITE" && *word != "SET")) {
    return malformed();
  }
  if (*word == "SET") {
    settings_[std::string(*name)] = rest;
    return success();
  }
  statement.kind = operation::write;
  statement.item = *name;
  statement.data = rest;
  return success();
}

result<void>
standin_line_session::execute(standin_line_statement& statement, std::string_view rest)
{
  const auto name = take_field(rest);
  if (!name || rest.empty()) {
    return malformed();
  }
  const auto prepared = prepared_.find(std::string(*name));
  if (prepared == prepared_.end()) {
    return fail(result_code::bad_request, "NOSTMT");
  }
  statement.shape = prepared->second.shape;
  statement.kind = prepared->second.writes ? operation::write : operation::read;
  if (const auto item = prepared->second.writes ? take_field(rest) : std::nullopt) {
    statement.item = *item;
    statement.data = rest;
  } else {
    statement.item = rest;
  }
  return success();
}

result<void>
standin_line_session::prepare(std::string_view rest)
{
  const auto name = take_field(rest);
  const auto mode = take_field(rest);
  if (!name || (mode != "READ" && mode != "WRITE") || rest.empty()) {
    return malformed();
  }
  prepared_[std::string(*name)] = { mode == "WRITE", std::string(rest) };
  return success();
}

}
