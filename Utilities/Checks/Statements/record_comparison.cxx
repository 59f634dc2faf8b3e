#include "Checks/Statements/record_comparison.h"

#include "Checks/Statements/hostile_text.h"
#include "platform/base64.h"
#include "platform/line_protocol.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace persimmonshelf::checks {

namespace json = boost::json;

namespace {

using operation = sent_statement::operation;

constexpr std::size_t line_end_bytes = 2;
// Codes that promise that nothing of the attempt is kept.
constexpr std::array<std::string_view, 6> promises{ "BUSY",     "ABORTED",   "LAGGING",
                                                    "READONLY", "MISROUTED", "TOOMANY" };

std::string
text_of(const json::object& entry, std::string_view name)
{
  const auto& text = entry.at(name).as_string();
  auto bytes = platform::decode_base64(std::string_view(text.data(), text.size()));
  if (!bytes) {
    throw std::runtime_error(std::string(name) + ": not base64");
  }
  return *std::move(bytes);
}

std::string
word_of(const json::object& entry, std::string_view name)
{
  return std::string(entry.at(name).as_string());
}

session_values
values_of(const json::object& entry)
{
  session_values values;
  for (const auto& pair : entry.at("settings").as_array()) {
    const json::object fields{ { "name", pair.at(0) }, { "value", pair.at(1) } };
    values[text_of(fields, "name")] = text_of(fields, "value");
  }
  return values;
}

std::string
origin_of(const json::object& entry)
{
  return word_of(entry, "member") + " connection " +
         std::to_string(entry.at("connection").to_number<std::uint64_t>());
}

// The part of the text after its first `count` blanks; empty if there are fewer.
std::string_view
after_blanks(std::string_view text, unsigned count)
{
  for (; count > 0; --count) {
    const auto blank = text.find(' ');
    if (blank == std::string_view::npos) {
      return {};
    }
    text.remove_prefix(blank + 1);
  }
  return text;
}

bool
writes(const sent_statement& sent)
{
  return sent.kind == operation::write || (sent.kind == operation::execute && sent.shape_writes);
}

std::string_view
expected_kind(const sent_statement& sent)
{
  switch (sent.kind) {
    case operation::read:
      return "read";
    case operation::write:
      return "write";
    case operation::execute:
      return sent.shape_writes ? "write" : "read";
    case operation::commit:
      return "commit";
    case operation::session:
      break;
  }
  return "session";
}

std::string
in_quotes(std::string_view text)
{
  return "\"" + printable(text) + "\"";
}

}

record_comparison::record_comparison(const sent_statements& sent)
  : sent_(sent)
{
}

void
record_comparison::report(std::string kind, std::string text)
{
  violations_.push_back({ std::move(kind), std::move(text) });
}

result<void>
record_comparison::read(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return fail(result_code::bad_request, path + ": cannot be read");
  }
  std::size_t number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    try {
      const auto entry = json::parse(line).as_object();
      const auto event = word_of(entry, "event");
      if (event == "ran") {
        compare_run(entry);
      } else if (event == "refused") {
        compare_refusal(entry);
      } else if (event == "start") {
        compare_start(entry);
      } else if (text_of(entry, "line") != "BYE") {
        report("outside_grammar", origin_of(entry) + ": " + in_quotes(text_of(entry, "line")));
      }
    } catch (const std::exception& failure) {
      return fail(result_code::bad_request,
                  path + ":" + std::to_string(number) + ": " + failure.what());
    }
  }
  return success();
}

void
record_comparison::compare_run(const json::object& entry)
{
  const auto id = text_of(entry, "id");
  const auto kind = word_of(entry, "kind");
  const auto text = text_of(entry, "text");
  const auto description = origin_of(entry) + ", id " + in_quotes(id) + ": ran " + in_quotes(text);
  if (const auto ending = word_of(entry, "ending"); !ending.empty()) {
    ++counts_["answers_" + ending];
  }
  if (text_of(entry, "answer").starts_with("ERROR ")) {
    ++counts_["ran_and_answered_error"];
  }
  if (id == "-") {
    if (kind == "read" || kind == "write" || kind == "commit") {
      report("own_statement", description);
    }
    return;
  }
  const auto* sent = sent_.find(id);
  if (sent == nullptr) {
    report("unknown_id", description);
    return;
  }
  ++counts_["ran_" + kind];
  auto& known = runs_[id];
  if (++known.count > 1) {
    if (kind == "read") {
      ++counts_["reads_repeated"];
    } else {
      report("run_twice", description);
    }
  }
  known.answer = text_of(entry, "answer");
  known.rolled_back = sent->kind == operation::commit && kind == "rollback";
  if (!sent->complete) {
    report("incomplete", description + ", of which the caller sent only a part");
  }
  if (!sent->well_formed) {
    report("malformed_ran", description + ", sent as " + in_quotes(sent->text));
  }
  compare_text(*sent, entry, description);
  if (sent->values && values_of(entry) != *sent->values) {
    report("values_changed", description);
  }
  compare_transaction(*sent, entry, description);
}

// An execution names its statement as the proxy chose; all other texts are those of the caller.
void
record_comparison::compare_text(const sent_statement& sent,
                                const json::object& entry,
                                const std::string& description)
{
  const auto text = text_of(entry, "text");
  if (sent.kind != operation::execute) {
    // Whether the caller was told of it is checked with its answer.
    const auto kind = word_of(entry, "kind");
    const bool rolled_back = sent.kind == operation::commit && kind == "rollback";
    if (text != sent.text) {
      report("text_changed", description + ", sent as " + in_quotes(sent.text));
    } else if (!rolled_back && kind != expected_kind(sent)) {
      report("text_changed", description + " as " + kind);
    }
    return;
  }
  if (!text.starts_with("EXECUTE ") || after_blanks(text, 2) != sent.arguments) {
    report("execution_changed", description + ", sent as " + in_quotes(sent.text));
  }
  const auto shape = text_of(entry, "shape");
  if (shape != sent.shape || word_of(entry, "kind") != expected_kind(sent)) {
    report("shape_changed",
           description + " with shape " + in_quotes(shape) + ", prepared with shape " +
             in_quotes(sent.shape));
  }
}

void
record_comparison::compare_transaction(const sent_statement& sent,
                                       const json::object& entry,
                                       const std::string& description)
{
  const auto number = entry.at("transaction").to_number<std::uint64_t>();
  if ((number == 0) != (sent.transaction == 0)) {
    report("transaction_changed",
           description + (number == 0 ? " outside of its transaction" : " in a transaction"));
    return;
  }
  if (number == 0) {
    return;
  }
  if (entry.at("reads_only").as_bool() != sent.reads_only) {
    report("transaction_changed", description + " in a transaction of another kind");
  }
  const member_transaction at{ entry.at("connection").to_number<std::uint64_t>(), number };
  const auto known = transactions_.try_emplace(sent.transaction, at).first->second;
  const auto caller = callers_of_.try_emplace(at, sent.transaction).first->second;
  if (known != at || caller != sent.transaction) {
    report("transaction_changed", description + " in the transaction of other statements");
  }
  if (writes(sent)) {
    wrote_.insert(sent.transaction);
  }
}

// Refusals that the member's state or a fault of the stand-in explains are only counted.
void
record_comparison::compare_refusal(const json::object& entry)
{
  const auto code = word_of(entry, "code");
  const auto line = text_of(entry, "line");
  const auto why = word_of(entry, "reason");
  ++counts_["refused_" + code + (why == "message" ? "" : "_by_" + why)];
  if (code != "MALFORMED" && code != "NOSTMT") {
    return;
  }
  const auto description = origin_of(entry) + ": " + code + " for " + in_quotes(line) + " of " +
                           std::to_string(line.size()) + " bytes";
  const auto rest = after_blanks(line, 1);
  const auto id = std::string(rest.substr(0, rest.find(' ')));
  const bool explained = why != "message";
  if (id == "-") {
    if (!explained) {
      report("own_command_refused", description);
    }
    return;
  }
  refused_.insert(id);
  const auto* sent = sent_.find(id);
  if (sent == nullptr) {
    report("unknown_id", description);
  } else if (explained) {
    return;
  } else if (sent->well_formed && line.size() + line_end_bytes > platform::line_limit_bytes) {
    report("line_too_long", description + ", sent as " + in_quotes(sent->text));
  } else if (sent->well_formed) {
    report("refused_well_formed", description + ", sent as " + in_quotes(sent->text));
  }
}

// START has the group, the workspace and the member's id, each without blanks and not empty.
void
record_comparison::compare_start(const json::object& entry)
{
  const auto line = text_of(entry, "line");
  const bool empty_field = line.find("  ") != std::string::npos || line.ends_with(' ');
  if (std::count(line.begin(), line.end(), ' ') != 3 || empty_field) {
    report("start_changed", origin_of(entry) + ": " + in_quotes(line));
  }
}

void
record_comparison::check_answers()
{
  for (const auto& [id, sent] : sent_.entries()) {
    check_answer(sent);
  }
}

void
record_comparison::check_answer(const sent_statement& sent)
{
  const auto found = runs_.find(sent.id);
  const bool ran = found != runs_.end();
  const auto description = "id " + in_quotes(sent.id) + ": " + in_quotes(sent.text);
  if (sent.outcome == sent_statement::result::done) {
    if (!sent.well_formed) {
      report("malformed_done", description);
    }
    if (sent.kind == operation::session) {
      return;
    }
    if (!ran) {
      report("not_run", description + " was answered with DONE and did not run");
    } else if (found->second.rolled_back) {
      report("rolled_back", description + " was answered with DONE and rolled back");
    } else if (found->second.answer != sent.answer) {
      report("answer_changed",
             description + " was answered with " + in_quotes(sent.answer) + ", the member sent " +
               in_quotes(found->second.answer));
    }
    return;
  }
  // Callers use only names that they prepared, and few values. A transaction may end while it is
  // idle, and its next statement is malformed then.
  const bool refused = sent.code == "MALFORMED" || sent.code == "NOSTMT";
  if (refused && sent.well_formed && !sent.ahead && sent.transaction == 0 &&
      !refused_.contains(sent.id)) {
    report("refused_by_proxy", description + " was answered with " + in_quotes(sent.answer));
  }
  const bool promised = sent.outcome == sent_statement::result::failed &&
                        std::find(promises.begin(), promises.end(), sent.code) != promises.end();
  const bool rolled_back = ran && found->second.rolled_back;
  const bool kept = (writes(sent) && sent.transaction == 0) ||
                    (sent.kind == operation::commit && wrote_.contains(sent.transaction));
  if (promised && kept && ran && !rolled_back) {
    report("promise_broken", description + " was answered with " + sent.code + " and ran");
  }
}

}
