#include "ProxyNode/session_driver.h"

#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <utility>

namespace persimmonshelf {

namespace {

// Shorter than the two seconds after which a caller gives up. A starting instance has a
// configuration earlier than this.
constexpr duration begin_timeout = std::chrono::milliseconds(1500);
// A configuration change reaches all instances within a few round trips. A statement that waits
// longer is refused.
constexpr duration configuration_wait_timeout = std::chrono::milliseconds(100);
// Number of messages that a caller may send ahead of the answers.
// Other instances of this version send one at a time.
constexpr std::size_t queued_line_limit = 16;
// Copies of a message and of the session's values while a statement runs: parsed, encoded for the
// member, and in the queue of the member's connection.
constexpr std::size_t copies_while_running = 3;

}

std::shared_ptr<session_driver>
session_driver::create(handlers callbacks)
{
  std::shared_ptr<session_driver> created(new session_driver(std::move(callbacks)));
  created->self_ = created;
  if (created->handlers_.open_account) {
    created->account_ = created->handlers_.open_account([weak = created->self_] {
      if (const auto self = weak.lock()) {
        self->finish();
      }
    });
  }
  return created;
}

session_driver::session_driver(handlers callbacks)
  : handlers_(std::move(callbacks))
{
}

void
session_driver::handle_line(std::string_view line)
{
  if (closed_) {
    return;
  }
  if (!session_ && !first_line_) {
    first_line_ = std::string(line);
    first_line_received_at_ = boot_now();
    start_session();
    return;
  }
  if (queued_lines_.size() >= queued_line_limit) {
    give_up();
    finish();
    return;
  }
  queued_lines_.emplace_back(line);
  queued_bytes_ += line.size();
  run_next_statement();
  update_account();
}

void
session_driver::update_account()
{
  const bool running = session_ && session_->busy();
  const auto kept = session_ ? session_->kept_bytes() : 0;
  const auto held = running ? active_bytes_ + kept : kept;
  const auto copies = running ? copies_while_running : 1;
  account_.set(queued_bytes_ + copies * held, queued_bytes_ + held);
}

void
session_driver::start_session()
{
  if (!handlers_.can_begin() || handlers_.configuration_outdated()) {
    return;
  }
  const auto start = platform::parse_session_start(*first_line_);
  if (!start) {
    handlers_.write(platform::encode_error(statement_error::malformed, start.error().message));
    finish();
    return;
  }
  auto hooks = handlers_.make_session_hooks();
  hooks.answer = [weak = self_](const statement_answer& reply) {
    if (const auto self = weak.lock()) {
      self->answer(reply);
    }
  };
  session_ = std::make_unique<caller_session>(
    database_id(start.value().database), start.value().key, std::move(hooks));
  if (const auto refusal = session_->check_start()) {
    handlers_.write(platform::encode_error(*refusal, "the session cannot begin"));
    finish();
    return;
  }
  handlers_.write(platform::encode_ready(transaction_state::idle, std::nullopt));
  run_next_statement();
}

// True if the next statement waits or was refused because it needs a newer configuration than this
// instance has. A transaction continues with the configuration it began with.
bool
session_driver::wait_for_configuration()
{
  if (session_->state() != transaction_state::idle || !handlers_.configuration_outdated()) {
    configuration_wait_since_.reset();
    return false;
  }
  const auto now = boot_now();
  if (!configuration_wait_since_) {
    configuration_wait_since_ = now;
  }
  if (now - *configuration_wait_since_ >= configuration_wait_timeout) {
    queued_bytes_ -= queued_lines_.front().size();
    queued_lines_.pop_front();
    configuration_wait_since_.reset();
    handlers_.write(platform::encode_error(
      statement_error::busy, "this instance does not have the newest configuration yet"));
    handlers_.write(platform::encode_ready(transaction_state::idle, std::nullopt));
  }
  return true;
}

void
session_driver::run_next_statement()
{
  // An immediate answer must not start the next statement recursively.
  if (dispatching_ || !session_) {
    return;
  }
  const auto self = self_.lock();
  dispatching_ = true;
  while (!closed_ && !session_->busy() && !queued_lines_.empty() && !wait_for_configuration()) {
    const auto line = std::move(queued_lines_.front());
    queued_lines_.pop_front();
    queued_bytes_ -= line.size();
    active_bytes_ = line.size();
    auto message = platform::parse_caller_message(line);
    if (!message) {
      handlers_.write(platform::encode_error(statement_error::malformed, message.error().message));
      handlers_.write(platform::encode_ready(session_->state(), std::nullopt));
      continue;
    }
    if (!message.value()) {
      finish();
      break;
    }
    statement_began_at_ = boot_now();
    session_->handle(*message.value());
  }
  dispatching_ = false;
}

void
session_driver::answer(const statement_answer& reply)
{
  const auto self = self_.lock();
  handlers_.statement_answered(reply, boot_now() - statement_began_at_);
  active_bytes_ = 0;
  handlers_.write(platform::encode_answer(reply));
  run_next_statement();
  update_account();
}

void
session_driver::tick(instant now)
{
  if (closed_) {
    return;
  }
  if (session_) {
    session_->tick(now);
    if (configuration_wait_since_) {
      run_next_statement();
      update_account();
    }
    return;
  }
  if (!first_line_) {
    return;
  }
  if (now - first_line_received_at_ > begin_timeout) {
    handlers_.write(
      platform::encode_error(statement_error::busy, "this instance has no configuration yet"));
    finish();
    return;
  }
  start_session();
}

bool
session_driver::idle() const
{
  return between_statements() && (!session_ || session_->state() == transaction_state::idle);
}

bool
session_driver::between_statements() const
{
  return session_ ? !session_->busy() && queued_lines_.empty() : !first_line_;
}

void
session_driver::give_up()
{
  if (closed_) {
    return;
  }
  const auto self = self_.lock();
  const auto waiting = std::exchange(queued_lines_, {});
  queued_bytes_ = 0;
  if (!session_) {
    if (first_line_) {
      handlers_.write(platform::encode_error(statement_error::busy, "this instance is stopping"));
    }
    return;
  }
  session_->give_up();
  for (std::size_t i = 0; i < waiting.size() && !closed_; ++i) {
    handlers_.write(platform::encode_error(statement_error::busy, "this instance is stopping"));
    handlers_.write(platform::encode_ready(session_->state(), std::nullopt));
  }
}

void
session_driver::finish()
{
  const auto self = self_.lock();
  disconnect();
  handlers_.finish();
}

void
session_driver::disconnect()
{
  if (!std::exchange(closed_, true) && session_) {
    session_->disconnect();
  }
  // The session keeps its values until its connection releases it.
  queued_lines_.clear();
  queued_bytes_ = 0;
  update_account();
}

}
