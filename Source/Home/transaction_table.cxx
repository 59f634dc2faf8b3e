#include "Home/transaction_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <utility>

namespace persimmonshelf {

namespace {

struct transition
{
  transaction_state from;
  transaction_event event;
  transaction_state to;
};

using state = transaction_state;
using event = transaction_event;

// All permitted state changes. A commit that may have been sent but was not answered has an unknown
// outcome; after any other connection failure the backend server rolls the transaction back.
constexpr std::array transitions = {
  transition{ state::opening, event::answered, state::idle },
  transition{ state::opening, event::not_run_retryable, state::lost },
  transition{ state::opening, event::not_run_final, state::lost },
  transition{ state::opening, event::connection_failed, state::lost },
  transition{ state::idle, event::statement_sent, state::running },
  transition{ state::idle, event::commit_sent, state::committing },
  transition{ state::idle, event::rollback_sent, state::rolling_back },
  transition{ state::idle, event::not_run_final, state::lost },
  transition{ state::idle, event::connection_failed, state::lost },
  transition{ state::running, event::answered, state::idle },
  transition{ state::running, event::not_run_retryable, state::idle },
  transition{ state::running, event::not_run_final, state::lost },
  transition{ state::running, event::connection_failed, state::lost },
  transition{ state::committing, event::answered, state::committed },
  transition{ state::committing, event::not_run_retryable, state::idle },
  transition{ state::committing, event::not_run_final, state::lost },
  transition{ state::committing, event::connection_failed, state::unknown },
  transition{ state::rolling_back, event::answered, state::rolled_back },
  transition{ state::rolling_back, event::not_run_retryable, state::idle },
  transition{ state::rolling_back, event::not_run_final, state::lost },
  transition{ state::rolling_back, event::connection_failed, state::lost },
};

std::string
hex(std::uint64_t value)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

// Removes the part after the last '.' from `text` and parses it as a number in the given base.
bool
take_last_number(std::string_view& text, int base, std::uint64_t& value)
{
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return false;
  }
  const auto part = text.substr(dot + 1);
  const auto parsed = std::from_chars(part.data(), part.data() + part.size(), value, base);
  text = text.substr(0, dot);
  return parsed.ec == std::errc() && parsed.ptr == part.data() + part.size();
}

}

transaction_id
transaction_id_parts::to_id() const
{
  return transaction_id(instance.get() + "." + hex(incarnation.get()) + "." +
                        std::to_string(number) + "." + hex(nonce));
}

result<transaction_id_parts>
transaction_id_parts::parse(const transaction_id& id)
{
  std::string_view rest = id.get();
  transaction_id_parts name;
  std::uint64_t incarnation = 0;
  if (!take_last_number(rest, 16, name.nonce) || !take_last_number(rest, 10, name.number) ||
      !take_last_number(rest, 16, incarnation) || rest.empty()) {
    return fail(result_code::bad_request,
                "transaction \"" + id.get() + "\" is not a transaction id");
  }
  name.incarnation = incarnation_id(incarnation);
  name.instance = instance_id(std::string(rest));
  return name;
}

transaction_table::transaction_table(options settings, std::function<std::uint64_t()> random_bits)
  : options_(std::move(settings))
  , random_bits_(std::move(random_bits))
{
}

transaction&
transaction_table::open(const home_request& request,
                        connection_number connection,
                        term in_term,
                        instant now)
{
  const transaction_id_parts name{
    options_.instance, options_.incarnation, ++last_number_, random_bits_()
  };
  transaction item;
  item.id = name.to_id();
  item.workspace = request.workspace;
  item.key_digest = request.key_digest;
  item.connection = connection;
  item.in_term = in_term;
  item.slot_since = now;
  item.idle_since = now;
  by_connection_[connection] = item.id;
  const auto id = item.id;
  return open_.insert_or_assign(id, std::move(item)).first->second;
}

result<transaction*>
transaction_table::find(const home_request& request)
{
  const auto& id = request.transaction;
  const auto is_accessible = [&](const auto& item) {
    return item.workspace == request.workspace &&
           equal_constant_time(item.key_digest, request.key_digest);
  };
  const auto found = open_.find(id);
  if (found != open_.end() && is_accessible(found->second)) {
    return &found->second;
  }
  const auto ended = ended_.find(id);
  if (ended != ended_.end() && is_accessible(ended->second)) {
    if (ended->second.state == state::unknown && request.kind == operation::commit) {
      return fail(result_code::connection_lost, "the outcome of the commit is unknown");
    }
    if (ended->second.state == state::lost || ended->second.state == state::rolled_back) {
      return fail(result_code::transaction_lost, "the transaction was rolled back");
    }
  }
  const auto name = transaction_id_parts::parse(id);
  if (!name) {
    return name.as_failure();
  }
  if (name.value().instance != options_.instance) {
    return fail(result_code::wrong_home,
                "transaction " + id.get() + " belongs to instance " + name.value().instance.get());
  }
  if (name.value().incarnation != options_.incarnation) {
    return fail(result_code::transaction_lost,
                "the instance that ran the transaction was restarted");
  }
  return fail(result_code::unknown_transaction, "transaction " + id.get() + " is not open");
}

transaction*
transaction_table::find(connection_number connection)
{
  const auto found = by_connection_.find(connection);
  return found == by_connection_.end() ? nullptr : &open_.at(found->second);
}

transaction*
transaction_table::find(const transaction_id& id)
{
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

result<void>
transaction_table::apply(transaction& target, transaction_event event, instant now)
{
  const auto match = std::find_if(transitions.begin(), transitions.end(), [&](const auto& one) {
    return one.from == target.state && one.event == event;
  });
  if (match == transitions.end()) {
    return fail(result_code::internal_error,
                "transaction " + target.id.get() + ": event " +
                  std::to_string(static_cast<int>(event)) + " in state " +
                  std::to_string(static_cast<int>(target.state)));
  }
  target.state = match->to;
  target.idle_since = now;
  return success();
}

void
transaction_table::close(const transaction_id& id, instant now)
{
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  const auto& item = found->second;
  ended_.insert_or_assign(id,
                          ended_transaction{ item.state, item.workspace, item.key_digest, now });
  ended_by_age_.push_back(id);
  by_connection_.erase(item.connection);
  open_.erase(found);
  remove_expired(now);
}

bool
transaction_table::past_time_limit(const transaction& target, instant now) const
{
  if (target.state != state::idle) {
    return false;
  }
  const bool unused = target.waiting.empty() && now - target.idle_since >= options_.idle_timeout;
  return unused || now - target.slot_since >= options_.max_open_time;
}

std::vector<transaction_id>
transaction_table::ids() const
{
  std::vector<transaction_id> all;
  all.reserve(open_.size());
  for (const auto& [id, item] : open_) {
    all.push_back(id);
  }
  return all;
}

void
transaction_table::remove_expired(instant now)
{
  while (!ended_by_age_.empty()) {
    const auto found = ended_.find(ended_by_age_.front());
    if (found != ended_.end() && ended_by_age_.size() <= options_.max_ended &&
        now - found->second.ended_at < options_.ended_retention) {
      return;
    }
    if (found != ended_.end()) {
      ended_.erase(found);
    }
    ended_by_age_.pop_front();
  }
}

}
