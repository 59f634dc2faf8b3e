#include "StandIns/standin_line_group.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

using operation = standin_line_statement::operation;

constexpr std::string_view line_end = "\r\n";
// The only term of the group.
constexpr std::string_view term_prefix = "1.";

// Removes and returns the text up to the next space.
std::string_view
take_word(std::string_view& rest)
{
  const auto end = rest.find(' ');
  const auto word = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return word;
}

std::string
error_line(std::string_view code, const std::string& member)
{
  return "ERROR " + std::string(code) + " " + member + "\r\n";
}

std::string_view
name_of(standin_line_faults::ending end)
{
  using ending = standin_line_faults::ending;
  switch (end) {
    case ending::lost:
      return "lost";
    case ending::cut:
      return "cut";
    case ending::closed:
      return "closed";
    case ending::none:
      break;
  }
  return "";
}

// Name that a text prepares; empty if it prepares none.
std::string_view
prepared_name(std::string_view text)
{
  return take_word(text) == "PREPARE" ? take_word(text) : std::string_view{};
}

// Name that a message executes; empty if it executes none.
std::string_view
execution_name(std::string_view line)
{
  take_word(line);
  take_word(line);
  auto word = take_word(line);
  if (word == "AFTER") {
    take_word(line);
    word = take_word(line);
  }
  return word == "EXECUTE" ? take_word(line) : std::string_view{};
}

// Result line of a statement that ran.
std::string
done_line()
{
  return "DONE -\r\n";
}

}

result<std::unique_ptr<standin_line_group>>
standin_line_group::create(asio::io_context& context, options group)
{
  std::unique_ptr<standin_line_group> created(new standin_line_group(context, std::move(group)));
  if (!created->options_.record.empty()) {
    BOOST_OUTCOME_TRY(created->record_, standin_line_record::create(created->options_.record));
  }
  for (const auto& entry : created->options_.members) {
    BOOST_OUTCOME_TRYV(created->listen(entry));
  }
  return created;
}

standin_line_group::standin_line_group(asio::io_context& context, options group)
  : context_(context)
  , options_(std::move(group))
  , faults_(options_.faults)
{
}

result<void>
standin_line_group::listen(const member& entry)
{
  error_code failure;
  const tcp::endpoint endpoint(asio::ip::make_address(entry.address.address, failure),
                               entry.address.port);
  auto acceptor = std::make_unique<tcp::acceptor>(context_);
  acceptor->open(endpoint.protocol(), failure);
  acceptor->set_option(tcp::acceptor::reuse_address(true), failure);
  acceptor->bind(endpoint, failure);
  if (!failure) {
    acceptor->listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(result_code::address_unavailable,
                format_address(entry.address) + ": " + failure.message());
  }
  asio::co_spawn(context_, accept(*acceptor, entry), asio::detached);
  acceptors_.push_back(std::move(acceptor));
  return success();
}

asio::awaitable<void>
standin_line_group::accept(tcp::acceptor& acceptor, const member& entry)
{
  for (;;) {
    error_code failure;
    auto socket =
      co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    socket.set_option(tcp::no_delay(true), failure);
    asio::co_spawn(context_, serve(std::move(socket), entry), asio::detached);
  }
}

asio::awaitable<void>
standin_line_group::serve(tcp::socket socket, const member& entry)
{
  error_code failure;
  std::string buffer;
  session current;
  current.serving = &entry;
  current.origin = { entry.id, ++connections_ };
  bool started = false;
  asio::steady_timer timer(context_);
  for (;;) {
    const auto length =
      co_await asio::async_read_until(socket,
                                      asio::dynamic_buffer(buffer),
                                      line_end,
                                      asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    const std::string line = buffer.substr(0, length - line_end.size());
    buffer.erase(0, length);
    std::string_view rest = line;
    const auto word = take_word(rest);
    reply answer;
    if (!started) {
      // The group's name, the workspace and the member's id follow.
      started = word == "START" && take_word(rest) == options_.name;
      answer.text = started ? ready(current) : error_line("MISROUTED", entry.id);
      record_other_line(current, "start", line);
    } else if (word == "QUERY") {
      timer.expires_after(options_.statement_time);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
      answer = execute(current, line);
      answer.text += ready(current);
    } else {
      record_other_line(current, "line", line);
      co_return;
    }
    if (!co_await send(socket, std::move(answer)) || !started) {
      co_return;
    }
  }
}

asio::awaitable<bool>
standin_line_group::send(tcp::socket& socket, reply answer)
{
  using ending = standin_line_faults::ending;
  error_code failure;
  if (answer.fault.delay.count() > 0) {
    asio::steady_timer timer(context_, answer.fault.delay);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
  }
  if (answer.fault.end == ending::lost) {
    co_return false;
  }
  if (answer.fault.end == ending::cut) {
    answer.text.resize(faults_.below(answer.text.size()));
  }
  co_await asio::async_write(
    socket, asio::buffer(answer.text), asio::redirect_error(asio::use_awaitable, failure));
  co_return !failure && answer.fault.end == ending::none;
}

std::string
standin_line_group::ready(const session& current) const
{
  std::string line = "READY ";
  line += current.line.state();
  line += ' ';
  line += term_prefix;
  line += std::to_string(position_) + "\r\n";
  return line;
}

// Role, term, received position, and the term above which the member is paused.
std::string
standin_line_group::status_row(const member& entry) const
{
  return "ROW " + std::string(entry.primary ? "primary" : "replica") + " 1 " +
         std::string(term_prefix) + std::to_string(position_) + " 0\r\n";
}

void
standin_line_group::record_other_line(const session& current,
                                      std::string_view event,
                                      std::string_view line)
{
  if (record_) {
    record_->other_line(current.origin, event, line);
  }
}

standin_line_group::reply
standin_line_group::execute(session& current, std::string_view line)
{
  using reason = standin_line_record::reason;
  // The state before the statement is what it ran in, and what stays if it does not run.
  const auto before = current.line;
  const auto applied = current.line.apply(line);
  if (!applied) {
    const bool failed_before = before.state() == 'E' && applied.error().message == "MALFORMED";
    const bool unprepared = current.unprepared.contains(execution_name(line));
    const auto why = failed_before ? reason::failed_transaction
                     : unprepared  ? reason::refused_preparation
                                   : reason::message;
    return { refuse(current, line, applied.error().message, why), {} };
  }
  const auto& statement = applied.value();
  auto fault = faults_.next(statement);
  if (!fault.runs) {
    current.line = before;
    if (const auto name = prepared_name(statement.text); !name.empty()) {
      current.unprepared.emplace(name);
    }
    return { refuse(current, line, fault.code, reason::fault), fault };
  }
  if (statement.kind == operation::write && !current.serving->primary) {
    current.line = before;
    return { refuse(current, line, "READONLY", reason::message), fault };
  }
  if (const auto name = prepared_name(statement.text); !name.empty()) {
    current.unprepared.erase(std::string(name));
  } else if (statement.text == "RESET") {
    current.unprepared.clear();
  }
  auto answer = run_statement(current, statement);
  if (!fault.code.empty()) {
    answer = error_line(fault.code, current.serving->id);
    current.line.fail_transaction();
  }
  if (record_) {
    record_->ran(current.origin, statement, before, answer, name_of(fault.end));
  }
  return { std::move(answer), fault };
}

std::string
standin_line_group::refuse(session& current,
                           std::string_view line,
                           std::string_view code,
                           standin_line_record::reason why)
{
  current.line.fail_transaction();
  if (record_) {
    record_->refused(current.origin, line, code, why);
  }
  return error_line(code, current.serving->id);
}

std::string
standin_line_group::run_statement(session& current, const standin_line_statement& statement)
{
  switch (statement.kind) {
    case operation::read:
      return read(current, statement.item);
    case operation::write:
      return write(current, statement);
    case operation::commit:
    case operation::rollback:
      return end_transaction(current, statement.kind == operation::commit);
    case operation::status:
      return status_row(*current.serving) + done_line();
    case operation::session:
      break;
  }
  return done_line();
}

std::string
standin_line_group::read(const session& current, const std::string& item) const
{
  const auto written = current.writes.find(item);
  if (written != current.writes.end()) {
    return "ROW " + written->second + "\r\n" + done_line();
  }
  const auto found = items_.find(item);
  return found == items_.end() ? done_line() : "ROW " + found->second + "\r\n" + done_line();
}

std::string
standin_line_group::write(session& current, const standin_line_statement& statement)
{
  if (current.line.state() == 'T') {
    current.writes[statement.item] = statement.data;
  } else {
    items_[statement.item] = statement.data;
    ++position_;
  }
  return done_line();
}

std::string
standin_line_group::end_transaction(session& current, bool commit)
{
  if (commit && !current.writes.empty()) {
    for (auto& [item, data] : current.writes) {
      items_[item] = std::move(data);
    }
    ++position_;
  }
  current.writes.clear();
  current.line.end_transaction();
  return done_line();
}

}
