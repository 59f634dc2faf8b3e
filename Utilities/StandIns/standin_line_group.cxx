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
    std::string answer;
    if (!started) {
      // The group's name, the workspace and the member's id follow.
      started = word == "START" && take_word(rest) == options_.name;
      answer = started ? ready(current) : error_line("MISROUTED", entry.id);
      record_other_line(current, "start", line);
    } else if (word == "QUERY") {
      timer.expires_after(options_.statement_time);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
      answer = execute(current, line);
      answer += ready(current);
    } else {
      record_other_line(current, "line", line);
      co_return;
    }
    co_await asio::async_write(
      socket, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, failure));
    if (failure || !started) {
      co_return;
    }
  }
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

std::string
standin_line_group::execute(session& current, std::string_view line)
{
  // The state before the statement is what it ran in.
  const auto before = record_ ? current.line : standin_line_session();
  const auto applied = current.line.apply(line);
  const bool read_only =
    applied && applied.value().kind == operation::write && !current.serving->primary;
  if (!applied || read_only) {
    const std::string code = applied ? "READONLY" : applied.error().message;
    if (record_) {
      record_->refused(current.origin, line, code);
    }
    return error_line(code, current.serving->id);
  }
  auto answer = run_statement(current, applied.value());
  if (record_) {
    record_->ran(current.origin, applied.value(), before, answer);
  }
  return answer;
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
