#include "StandIns/standin_feed_store.h"

#include "platform/base64.h"

#include <boost/json.hpp>

#include <charconv>
#include <limits>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_condition_failed = 412;

// Fields of the query of a request target, not decoded.
std::map<std::string, std::string>
query_of(std::string_view target)
{
  std::map<std::string, std::string> fields;
  const auto mark = target.find('?');
  auto rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto field = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    const auto equals = field.find('=');
    fields.emplace(field.substr(0, equals),
                   equals == std::string_view::npos ? std::string_view{}
                                                    : field.substr(equals + 1));
  }
  return fields;
}

// The number in the text; `missing` if there is none.
std::uint64_t
number_or(const std::string& text, std::uint64_t missing)
{
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return text.empty() || parsed.ec != std::errc{} ? missing : value;
}

void
send_object(const http_server::responder& send, unsigned status, const json::object& body)
{
  http_response response;
  response.status = status;
  response.body = json::serialize(body);
  send(std::move(response));
}

// The array in the field; empty if there is none.
json::array
list_of(const json::object& object, std::string_view name)
{
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

std::string
text_of(const json::value& item, std::string_view name)
{
  return std::string(item.at(name).as_string());
}

}

result<std::unique_ptr<standin_feed_store>>
standin_feed_store::create(boost::asio::io_context& context, const tcp_address& address)
{
  std::unique_ptr<standin_feed_store> store(new standin_feed_store(context));
  http_server_options options;
  options.address = address.address;
  options.port = address.port;
  BOOST_OUTCOME_TRY(store->server_,
                    http_server::create(context,
                                        options,
                                        [self = store.get()](accepted_number,
                                                             const http_request& request,
                                                             const http_server::responder& send) {
                                          self->handle(request, send);
                                        }));
  return store;
}

standin_feed_store::standin_feed_store(boost::asio::io_context& context)
  : context_(context)
  , started_at_(std::chrono::steady_clock::now())
{
}

void
standin_feed_store::put(const std::string& table, const std::string& key, std::string_view value)
{
  rows_[{ table, key }] = { platform::encode_base64(value), ++revision_, false };
  answer_held_calls();
}

void
standin_feed_store::remove(const std::string& table, const std::string& key)
{
  if (exists({ table, key })) {
    rows_[{ table, key }] = { {}, ++revision_, true };
    answer_held_calls();
  }
}

void
standin_feed_store::handle(const http_request& request, const http_server::responder& send)
{
  const auto path = request.target.substr(0, request.target.find('?'));
  auto query = query_of(request.target);
  if (request.method == "POST" && path == "/rows-tx") {
    handle_transaction(request.body, send);
  } else if (request.method == "GET" && path == "/rows-get") {
    const auto limit = number_or(query["limit"], std::numeric_limits<std::uint64_t>::max());
    send_object(send, 200, contents(query["table"], query["from"], limit));
  } else if (request.method == "GET" && path == "/rows-feed") {
    const auto after = number_or(query["after"], 0);
    const std::chrono::milliseconds wait(number_or(query["wait_ms"], 0));
    if (changed_after(query["table"], after) || wait.count() == 0) {
      send_object(send, 200, changes(query["table"], after));
    } else {
      hold(query["table"], after, wait, send);
    }
  } else {
    send_object(send, status_not_found, {});
  }
}

void
standin_feed_store::hold(std::string table,
                         std::uint64_t after,
                         std::chrono::milliseconds wait,
                         http_server::responder send)
{
  held_.push_back(
    { std::move(table), after, std::move(send), boost::asio::steady_timer(context_, wait) });
  const auto call = std::prev(held_.end());
  call->timer.async_wait([this, call](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      send_object(call->send, 200, changes(call->table, call->after));
      held_.erase(call);
    }
  });
}

void
standin_feed_store::answer_held_calls()
{
  for (auto call = held_.begin(); call != held_.end();) {
    // A timer that has expired answers the call itself.
    if (changed_after(call->table, call->after) && call->timer.cancel() > 0) {
      send_object(call->send, 200, changes(call->table, call->after));
      call = held_.erase(call);
    } else {
      ++call;
    }
  }
}

void
standin_feed_store::handle_transaction(const std::string& body, const http_server::responder& send)
{
  boost::system::error_code failure;
  const auto parsed = json::parse(body, failure);
  if (failure || !parsed.is_object()) {
    send_object(send, status_bad_request, {});
    return;
  }
  const auto& transaction = parsed.get_object();
  const auto id_of = [](const json::value& item) {
    return row_id(text_of(item, "table"), text_of(item, "key"));
  };
  bool conditions_hold = true;
  json::array present;
  for (const auto& condition : list_of(transaction, "expected_rev")) {
    const auto id = id_of(condition);
    const auto revision = exists(id) ? rows_.at(id).revision : 0;
    conditions_hold = conditions_hold && condition.at("ver").to_number<std::uint64_t>() == revision;
    if (exists(id)) {
      present.push_back(describe(id, rows_.at(id)));
    }
  }
  if (!conditions_hold) {
    auto refusal = answer();
    refusal["rows"] = std::move(present);
    send_object(send, status_condition_failed, refusal);
    return;
  }
  ++revision_;
  for (const auto& put : list_of(transaction, "puts")) {
    rows_[id_of(put)] = { text_of(put, "value"), revision_, false };
  }
  for (const auto& removal : list_of(transaction, "remove")) {
    if (const auto id = id_of(removal); exists(id)) {
      rows_[id] = { {}, revision_, true };
    }
  }
  send_object(send, 200, answer());
  answer_held_calls();
}

bool
standin_feed_store::exists(const row_id& id) const
{
  const auto found = rows_.find(id);
  return found != rows_.end() && !found->second.removed;
}

bool
standin_feed_store::changed_after(const std::string& table, std::uint64_t after) const
{
  for (const auto& [id, entry] : rows_) {
    if (id.first == table && entry.revision > after) {
      return true;
    }
  }
  return false;
}

json::object
standin_feed_store::answer() const
{
  const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - started_at_);
  return { { "ver", revision_ }, { "now_ms", clock.count() } };
}

json::object
standin_feed_store::describe(const row_id& id, const row& entry)
{
  json::object described{
    { "table", id.first }, { "part", "" }, { "key", id.second }, { "ver", entry.revision }
  };
  if (entry.removed) {
    described["deleted"] = true;
  } else {
    described["value"] = entry.value;
  }
  return described;
}

json::object
standin_feed_store::changes(const std::string& table, std::uint64_t after) const
{
  json::array rows;
  for (const auto& [id, entry] : rows_) {
    if (id.first == table && entry.revision > after) {
      rows.push_back(describe(id, entry));
    }
  }
  auto page = answer();
  page["rows"] = std::move(rows);
  page["has_more"] = false;
  return page;
}

json::object
standin_feed_store::contents(const std::string& table,
                             const std::string& from,
                             std::uint64_t limit) const
{
  json::array rows;
  bool has_more = false;
  for (const auto& [id, entry] : rows_) {
    if (id.first != table || entry.removed || id.second < from) {
      continue;
    }
    if (rows.size() >= limit) {
      has_more = true;
      break;
    }
    rows.push_back(describe(id, entry));
  }
  auto page = answer();
  page["rows"] = std::move(rows);
  page["has_more"] = has_more;
  return page;
}

}
