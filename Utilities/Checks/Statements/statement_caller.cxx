#include "Checks/Statements/statement_caller.h"

#include "platform/line_protocol.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace persimmonshelf::checks {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

using operation = sent_statement::operation;

constexpr std::string_view line_end = "\r\n";
constexpr std::chrono::seconds answer_limit{ 10 };
// Pause before the next try after a failed session.
constexpr std::size_t retry_pause_ms = 100;
// Most statements of one session and of one transaction.
constexpr std::size_t session_statements = 120;
constexpr std::size_t transaction_statements = 7;
// A pause in a transaction; some exceed the limit for idle transactions of the soak's fleet.
constexpr std::size_t short_pause_ms = 20;
constexpr std::size_t long_pause_ms = 700;
// Longest time for which a caller waits that leaves without an answer.
constexpr std::size_t leaving_pause_ms = 5;
// Most statements that a caller sends before the first one is answered.
constexpr std::size_t most_sent_ahead = 5;

std::string
message_of(const sent_statement& sent)
{
  return "QUERY " + sent.id + " " + sent.text + "\r\n";
}

}

statement_caller::statement_caller(asio::io_context& context,
                                   caller_options options,
                                   std::uint64_t seed,
                                   sent_statements& sent,
                                   caller_totals& totals)
  : context_(context)
  , options_(std::move(options))
  , text_(seed)
  , sent_(sent)
  , totals_(totals)
  , socket_(context)
  , deadline_(context)
{
}

bool
statement_caller::may_go_on() const
{
  return count_ < options_.statements && std::chrono::steady_clock::now() < options_.end;
}

asio::awaitable<void>
statement_caller::pause(std::size_t max_ms)
{
  asio::steady_timer timer(context_, std::chrono::milliseconds(text_.below(max_ms + 1)));
  co_await timer.async_wait(asio::use_awaitable);
}

void
statement_caller::close()
{
  error_code ignored;
  socket_.close(ignored);
  buffer_.clear();
}

asio::awaitable<void>
statement_caller::run()
{
  while (may_go_on()) {
    const bool started = co_await start_session();
    if (started) {
      ++totals_.sessions;
      co_await run_session();
    }
    close();
    if (!started) {
      co_await pause(retry_pause_ms);
    }
  }
}

asio::awaitable<bool>
statement_caller::start_session()
{
  state_ = 'I';
  transaction_ = 0;
  values_ = std::make_shared<const session_values>();
  prepared_.clear();
  error_code failure;
  socket_ = tcp::socket(context_);
  co_await socket_.async_connect(
    { asio::ip::make_address(options_.address.address), options_.address.port },
    asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return false;
  }
  socket_.set_option(tcp::no_delay(true), failure);
  auto start = "START " + options_.databases.at(text_.below(options_.databases.size())) + " " +
               options_.key + "\r\n";
  if (!options_.open_databases.empty() && text_.chance(20)) {
    // Anyone may use these.
    start = "START " + options_.open_databases.at(text_.below(options_.open_databases.size())) +
            (text_.chance(50) ? "\r\n" : " " + text_.last_field() + "\r\n");
  }
  if (!co_await send(start)) {
    co_return false;
  }
  const auto line = co_await receive_line();
  if (!line.starts_with("READY I ")) {
    ++totals_.refused_sessions;
    co_return false;
  }
  co_return true;
}

asio::awaitable<void>
statement_caller::run_session()
{
  const auto end = count_ + 1 + text_.below(session_statements);
  while (socket_.is_open() && count_ < end && may_go_on()) {
    if (text_.chance(20)) {
      co_await run_transaction();
    } else if (text_.chance(25)) {
      co_await change_session();
    } else {
      co_await run_statement();
    }
    if (text_.chance(10)) {
      co_await pause(short_pause_ms);
    }
  }
  if (socket_.is_open()) {
    co_await leave();
  }
}

// Ends the session in one of the ways in which callers leave.
asio::awaitable<void>
statement_caller::leave()
{
  if (text_.chance(40)) {
    co_await send("BYE\r\n");
    co_return;
  }
  if (text_.chance(50)) {
    co_return;
  }
  // The caller leaves in the middle of a message.
  auto next = next_read_or_write();
  next.id = next_id();
  next.values = values_;
  next.complete = false;
  auto message = message_of(next);
  message.resize(1 + text_.below(message.size() - 1));
  sent_.add(std::move(next));
  co_await send(message);
}

asio::awaitable<void>
statement_caller::run_transaction()
{
  sent_statement begin;
  const bool reads_only = text_.chance(40);
  begin.text = reads_only ? "BEGIN READ" : "BEGIN";
  const auto* answered = co_await exchange(std::move(begin));
  if (answered->outcome != sent_statement::result::done) {
    co_return;
  }
  ++totals_.transactions;
  transaction_ = sent_.next_transaction();
  reads_only_ = reads_only;
  const auto count = text_.below(transaction_statements);
  for (std::size_t i = 0; i < count && socket_.is_open() && state_ == 'T'; ++i) {
    if (text_.chance(20)) {
      co_await pause(text_.chance(5) ? long_pause_ms : short_pause_ms);
    }
    if (text_.chance(15)) {
      co_await change_session();
    } else {
      co_await run_statement();
    }
  }
  if (!socket_.is_open()) {
    co_return;
  }
  if (text_.chance(5)) {
    close();
    co_return;
  }
  sent_statement end;
  const bool commits = state_ == 'T' && text_.chance(75);
  end.kind = commits ? operation::commit : operation::session;
  end.text = commits ? "COMMIT" : "ROLLBACK";
  co_await exchange(std::move(end));
  transaction_ = 0;
  if (socket_.is_open() && state_ != 'I') {
    close();
  }
}

asio::awaitable<void>
statement_caller::run_statement()
{
  if (text_.chance(3)) {
    co_await run_ahead();
    co_return;
  }
  if (text_.chance(2)) {
    co_await leave_unanswered();
    co_return;
  }
  sent_statement next;
  if (text_.below(1000) < options_.long_per_thousand) {
    next = next_long_statement();
    ++totals_.long_statements;
  } else if (text_.chance(2)) {
    next = next_malformed();
  } else {
    next = next_ordinary();
  }
  co_await exchange(std::move(next));
}

// Sends a statement and leaves before its answer, which the members may still work on.
asio::awaitable<void>
statement_caller::leave_unanswered()
{
  ++totals_.left_unanswered;
  const auto message = message_of(add(next_ordinary()));
  if (co_await send(message)) {
    co_await pause(leaving_pause_ms);
    close();
  }
}

// Sends several statements before the first one is answered.
asio::awaitable<void>
statement_caller::run_ahead()
{
  std::string messages;
  std::vector<sent_statement*> entries;
  const auto count = 2 + text_.below(most_sent_ahead - 1);
  for (std::size_t i = 0; i < count; ++i) {
    entries.push_back(&add(next_ordinary()));
    entries.back()->ahead = true;
    messages += message_of(*entries.back());
  }
  totals_.sent_ahead += count;
  if (!co_await send(messages)) {
    co_return;
  }
  for (auto* entry : entries) {
    co_await receive(*entry);
    if (!socket_.is_open()) {
      co_return;
    }
  }
}

// Changes a value or a prepared statement of the session.
asio::awaitable<void>
statement_caller::change_session()
{
  auto change = next_change();
  const auto* answered = co_await exchange(std::move(change.statement));
  if (answered->outcome != sent_statement::result::done) {
    // The protocol has callers leave after such an error.
    close();
    co_return;
  }
  change.apply();
}

// Keeps a statement that is about to be sent, in the state of the session.
sent_statement&
statement_caller::add(sent_statement next)
{
  ++count_;
  if (next.id.empty()) {
    next.id = next_id();
  }
  next.values = values_;
  next.transaction = transaction_;
  next.reads_only = transaction_ != 0 && reads_only_;
  return sent_.add(std::move(next));
}

asio::awaitable<const sent_statement*>
statement_caller::exchange(sent_statement next)
{
  auto& entry = add(std::move(next));
  if (!buffer_.empty()) {
    totals_.violations.push_back("unsolicited: " + printable(buffer_));
  }
  if (co_await send(message_of(entry))) {
    co_await receive(entry);
  }
  co_return &entry;
}

// Sends in one piece or in several ones.
asio::awaitable<bool>
statement_caller::send(std::string_view message)
{
  error_code failure;
  const auto pieces = text_.chance(90) ? 1 : 1 + text_.below(4);
  for (std::size_t i = 0; i < pieces && !failure; ++i) {
    const bool last = i + 1 == pieces || message.size() < 2;
    const auto length = last ? message.size() : 1 + text_.below(message.size() - 1);
    co_await asio::async_write(socket_,
                               asio::buffer(message.substr(0, length)),
                               asio::redirect_error(asio::use_awaitable, failure));
    message.remove_prefix(length);
    if (last) {
      break;
    }
    co_await pause(3);
  }
  if (failure) {
    ++totals_.lost_sessions;
    close();
  }
  co_return !failure;
}

asio::awaitable<std::string>
statement_caller::receive_line()
{
  deadline_.expires_after(answer_limit);
  deadline_.async_wait([this](const error_code& cancelled) {
    if (!cancelled) {
      ++totals_.timeouts;
      error_code ignored;
      socket_.close(ignored);
    }
  });
  error_code failure;
  const auto length =
    co_await asio::async_read_until(socket_,
                                    asio::dynamic_buffer(buffer_),
                                    std::string(line_end),
                                    asio::redirect_error(asio::use_awaitable, failure));
  deadline_.cancel();
  if (failure) {
    ++totals_.lost_sessions;
    close();
    co_return std::string();
  }
  auto line = buffer_.substr(0, length - line_end.size());
  buffer_.erase(0, length);
  co_return line;
}

asio::awaitable<void>
statement_caller::receive(sent_statement& entry)
{
  bool failed = false;
  std::string code;
  std::string answer;
  for (;;) {
    const auto line = co_await receive_line();
    if (line.empty()) {
      co_return;
    }
    if (line.starts_with("READY ") && line.size() > 6) {
      state_ = line[6];
      break;
    }
    if (line.starts_with("ERROR ")) {
      failed = true;
      code = line.substr(6, line.find(' ', 6) - 6);
    }
    answer += line + "\r\n";
  }
  entry.outcome = failed ? sent_statement::result::failed : sent_statement::result::done;
  entry.code = code;
  entry.answer = std::move(answer);
  if (failed) {
    ++totals_.codes[code];
  } else if (entry.kind != operation::session) {
    ++totals_.done[format_address(options_.address)];
  }
}

}
