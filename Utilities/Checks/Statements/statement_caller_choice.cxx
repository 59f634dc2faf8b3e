#include "Checks/Statements/statement_caller.h"

#include "platform/line_protocol.h"

#include <array>
#include <utility>

namespace persimmonshelf::checks {

namespace {

using operation = sent_statement::operation;

constexpr std::string_view line_end = "\r\n";
constexpr std::size_t item_count = 40;

}

sent_statement
statement_caller::next_ordinary()
{
  return !prepared_.empty() && text_.chance(40) ? next_execution() : next_read_or_write();
}

sent_statement
statement_caller::next_read_or_write()
{
  sent_statement next;
  const bool common = text_.chance(50);
  const auto item = "i" + std::to_string(text_.below(item_count));
  if ((reads_only_ && transaction_ != 0) || text_.chance(50)) {
    next.kind = operation::read;
    next.text = "READ " + (common ? item : text_.last_field());
    return next;
  }
  next.kind = operation::write;
  next.text = "WRITE " + (common ? item : text_.middle_field()) + " ";
  if (!text_.chance(5)) {
    next.text += text_.last_field();
  }
  return next;
}

sent_statement
statement_caller::next_execution()
{
  sent_statement next;
  const auto found =
    std::next(prepared_.begin(), static_cast<std::ptrdiff_t>(text_.below(prepared_.size())));
  if (found->second.writes && reads_only_ && transaction_ != 0) {
    return next_read_or_write();
  }
  next.kind = operation::execute;
  next.shape = found->second.shape;
  next.shape_writes = found->second.writes;
  next.arguments =
    text_.chance(50) ? text_.last_field() : text_.middle_field() + (next.shape_writes ? " d" : "");
  next.text = "EXECUTE " + found->first + " " + next.arguments;
  return next;
}

// A statement whose message has about the longest length, or one byte more.
sent_statement
statement_caller::next_long_statement()
{
  constexpr std::array<std::size_t, 4> spare_bytes{ 0, 1, 12, 200 };
  auto next = !prepared_.empty() && text_.chance(30) ? next_execution() : next_read_or_write();
  next.id = next_id();
  const auto head = std::string_view("QUERY ").size() + next.id.size() + 1 + line_end.size();
  const auto filler = text_.long_field(platform::line_limit_bytes - head - next.text.size() -
                                       spare_bytes.at(text_.below(spare_bytes.size())));
  next.text += filler;
  next.arguments += next.kind == operation::execute ? filler : "";
  if (text_.chance(5)) {
    // One byte too long: the connection ends without a run.
    next.text += text_.long_field(platform::line_limit_bytes + 1 - head - next.text.size());
    next.well_formed = false;
  }
  return next;
}

sent_statement
statement_caller::next_malformed()
{
  const std::array<std::string, 9> texts{
    "AFTER 1.1 READ x", " READ x",  "READ ",
    "WRITE x",          "WRITE  x", "EXECUTE s0 ",
    "commit x",         "RESETS",   "PREPARE s0  READ q12",
  };
  sent_statement next;
  next.text = texts.at(text_.below(texts.size()));
  next.well_formed = false;
  return next;
}

statement_caller::session_change
statement_caller::next_change()
{
  session_change change;
  const auto name = text_.chance(70) ? "s" + std::to_string(text_.below(4)) : text_.middle_field();
  const auto choice = text_.below(10);
  if (choice < 4 || options_.prepared == prepared_use::none) {
    const auto value = text_.chance(10)  ? std::string()
                       : text_.chance(1) ? text_.long_field(20'000)
                                         : text_.last_field();
    change.statement.text = "SET " + name + (value.empty() && text_.chance(50) ? "" : " " + value);
    change.apply = [this, name, value] {
      auto changed = std::make_shared<session_values>(*values_);
      (*changed)[name] = value;
      values_ = std::move(changed);
    };
  } else if (choice < 9) {
    const prepared_statement prepared{ text_.chance(50),
                                       text_.shape(options_.prepared == prepared_use::plain) };
    change.statement.text =
      "PREPARE " + name + (prepared.writes ? " WRITE " : " READ ") + prepared.shape;
    change.apply = [this, name, prepared] { prepared_[name] = prepared; };
  } else {
    change.statement.text = "DEALLOC " + name;
    change.apply = [this, name] { prepared_.erase(name); };
  }
  return change;
}

// Unique by its number; some have odd bytes around it.
std::string
statement_caller::next_id()
{
  const auto number = std::to_string(sent_.next_number());
  if (text_.chance(60)) {
    return "n" + number;
  }
  // The characters before and after the number keep it apart from bytes of the text.
  return text_.middle_field().substr(0, 12) + "#" + number + "#" +
         text_.middle_field().substr(0, 12);
}

}
