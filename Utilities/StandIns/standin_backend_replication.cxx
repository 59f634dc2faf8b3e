#include "StandIns/standin_backend_replication.h"

#include "Base/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;
using clock = std::chrono::steady_clock;

namespace {

// Interval between checks for entries that are due; limits the precision of the replication delay.
constexpr std::chrono::milliseconds send_interval{ 2 };
// Interval at which the primary sends its term to the other members while it has no entries to
// send.
constexpr std::chrono::milliseconds heartbeat_interval{ 200 };
constexpr std::chrono::seconds answer_timeout{ 2 };
constexpr std::size_t entries_per_append = 1000;

}

standin_replication::standin_replication(boost::asio::io_context& context,
                                         standin_member& member,
                                         const std::map<std::string, tcp_address>& peers)
  : context_(context)
  , member_(member)
  , timer_(context)
{
  for (const auto& [name, address] : peers) {
    if (name != member.name()) {
      receiver_state receiver;
      receiver.name = name;
      receiver.address = address;
      peers_.emplace(name, std::move(receiver));
    }
  }
  start_timer();
}

standin_replication::~standin_replication()
{
  lifetime_.reset();
  for (auto& [name, receiver] : peers_) {
    if (receiver.connection) {
      receiver.connection->close();
    }
  }
}

void
standin_replication::start_timer()
{
  timer_.expires_after(send_interval);
  timer_.async_wait(
    [this, lifetime = std::weak_ptr<int>(lifetime_)](boost::system::error_code failure) {
      if (failure || lifetime.expired()) {
        return;
      }
      replicate();
      start_timer();
    });
}

void
standin_replication::replicate()
{
  if (!member_.is_primary() || down_) {
    return;
  }
  for (auto& [name, receiver] : peers_) {
    if (!receiver.busy && !is_refused(name)) {
      replicate_to(receiver);
    }
  }
}

void
standin_replication::replicate_to(receiver_state& receiver)
{
  if (receiver.in_term != member_.promised()) {
    receiver.in_term = member_.promised();
    receiver.matched = member_.log().last().position;
    receiver.confirmed = false;
    receiver.last_sent = {};
  }
  const auto append = next_append(receiver);
  if (!append) {
    return;
  }
  receiver.busy = true;
  receiver.last_sent = clock::now();
  if (receiver.connection && receiver.connection->is_open()) {
    send(receiver, *append);
    return;
  }
  receiver.connection = http_connection::create(context_);
  receiver.connection->connect(
    receiver.address,
    answer_timeout,
    [this, &receiver, append = *append, lifetime = std::weak_ptr<int>(lifetime_)](
      const std::string& reason) {
      if (lifetime.expired()) {
        return;
      }
      if (!reason.empty()) {
        receiver.busy = false;
        receiver.connection.reset();
        return;
      }
      send(receiver, append);
    });
}

std::optional<standin_append>
standin_replication::next_append(const receiver_state& receiver) const
{
  const auto& log = member_.log();
  const auto heartbeat_due = clock::now() - receiver.last_sent >= heartbeat_interval;
  standin_append append;
  append.in_term = member_.promised();
  append.origin = member_.name();
  append.previous = { log.term_at(receiver.matched), receiver.matched };
  append.held = std::max(delay_, receiver.delay);
  if (receiver.confirmed) {
    const auto due = clock::now() - append.held;
    const auto start_of_term = log.history().back().first_position;
    const auto last = log.last().position;
    auto next = log_position(receiver.matched.get() + 1);
    // Entries of older terms are only sent together with the first entry of this term, see
    // standin_append.
    if (next <= start_of_term && log.at(start_of_term).received <= due) {
      for (; next <= start_of_term; next = log_position(next.get() + 1)) {
        append.entries.push_back(log.at(next));
      }
    }
    while (next > start_of_term && next <= last && append.entries.size() < entries_per_append &&
           log.at(next).received <= due) {
      append.entries.push_back(log.at(next));
      next = log_position(next.get() + 1);
    }
  }
  const bool probing = !receiver.confirmed;
  if (append.entries.empty() && !probing && !heartbeat_due) {
    return std::nullopt;
  }
  return append;
}

void
standin_replication::send(receiver_state& receiver, const standin_append& append)
{
  http_request request;
  request.method = "POST";
  request.target = "/replication/append";
  request.body = json::serialize(to_json(append));
  receiver.connection->send(
    request,
    answer_timeout,
    [this, &receiver, in_term = append.in_term, lifetime = std::weak_ptr<int>(lifetime_)](
      const http_failure* failure, const http_response& response) {
      if (!lifetime.expired()) {
        handle_answer(receiver, in_term, failure, response.body);
      }
    });
}

void
standin_replication::handle_answer(receiver_state& receiver,
                                   term in_term,
                                   const http_failure* failure,
                                   const std::string& body)
{
  receiver.busy = false;
  if (failure != nullptr) {
    receiver.connection.reset();
    return;
  }
  const auto answer = parse_json(body, result_code::malformed_answer);
  if (!answer || !answer.value().is_object() || receiver.in_term != in_term) {
    return;
  }
  const auto& fields = answer.value().as_object();
  const auto* delay = fields.if_contains("delay_ms");
  if (delay != nullptr && delay->is_int64()) {
    receiver.delay = std::chrono::milliseconds(delay->as_int64());
  }
  const auto* matched = fields.if_contains("matched");
  const auto* accepted = fields.if_contains("accepted");
  if (matched == nullptr || !matched->is_int64() || accepted == nullptr || !accepted->is_bool()) {
    // The receiver promised a higher term. The candidate of that term will also fence this member.
    return;
  }
  receiver.matched = log_position(static_cast<std::uint64_t>(matched->as_int64()));
  receiver.confirmed = accepted->as_bool();
  replicate();
}

json::object
to_json(const standin_append& append)
{
  json::array entries;
  for (const auto& entry : append.entries) {
    entries.push_back(to_json(entry));
  }
  return { { "term", append.in_term.get() },
           { "origin", append.origin },
           { "previous_term", append.previous.in_term.get() },
           { "previous_position", append.previous.position.get() },
           { "held_ms", append.held.count() },
           { "entries", std::move(entries) } };
}

std::optional<standin_append>
append_from_json(const json::value& value)
{
  try {
    standin_append append;
    append.in_term = term(value.at("term").to_number<std::uint64_t>());
    append.origin = json::value_to<std::string>(value.at("origin"));
    append.previous.in_term = term(value.at("previous_term").to_number<std::uint64_t>());
    append.previous.position =
      log_position(value.at("previous_position").to_number<std::uint64_t>());
    append.held = std::chrono::milliseconds(value.at("held_ms").to_number<std::int64_t>());
    for (const auto& item : value.at("entries").as_array()) {
      auto entry = entry_from_json(item);
      if (!entry) {
        return std::nullopt;
      }
      entry->received = std::chrono::steady_clock::now();
      append.entries.push_back(std::move(*entry));
    }
    return append;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}
