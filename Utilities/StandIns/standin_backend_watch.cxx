#include "StandIns/standin_backend_server.h"

#include "StandIns/standin_target.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

std::uint64_t
parse_number(const std::string& text)
{
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

standin_reply
reply(const json::object& body, unsigned status = 200)
{
  standin_reply answer;
  answer.response.status = status;
  answer.response.body = json::serialize(body);
  return answer;
}

}

json::object
standin_backend::status(const std::string& id) const
{
  json::array history;
  for (const auto& start : member_.log().history()) {
    history.push_back(json::object{ { "term", start.in_term.get() },
                                    { "first_position", start.first_position.get() } });
  }
  const auto last = member_.log().last();
  json::object body{
    { "member", member_.name() },         { "role", member_.is_primary() ? "primary" : "replica" },
    { "term", member_.promised().get() }, { "last_term", last.in_term.get() },
    { "position", last.position.get() },  { "history", std::move(history) },
    { "leaving", member_.is_leaving() },  { "slots", member_.slots() }
  };
  if (!id.empty()) {
    body["request_id"] = id;
  }
  return body;
}

void
standin_backend::start_watch(const standin_request& request, const responder& respond)
{
  const auto& target = request.http.target;
  const auto id = query_value(target, "request_id");
  const auto promised = query_value(target, "promised");
  const log_position known(parse_number(query_value(target, "after")));
  const std::chrono::milliseconds wait(parse_number(query_value(target, "wait_ms")));
  const bool has_changed =
    known != member_.log().last().position ||
    (!promised.empty() && term(parse_number(promised)) != member_.promised());
  if (has_changed || wait.count() == 0) {
    respond(reply(status(id)));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, wait);
  const auto number = next_watch_++;
  watches_.emplace(number, watch{ request.connection, timer, id, respond });
  timer->async_wait([this, number, timer, lifetime = std::weak_ptr<int>(lifetime_)](
                      boost::system::error_code failure) {
    if (failure || lifetime.expired()) {
      return;
    }
    const auto due = watches_.extract(number);
    if (!due.empty()) {
      due.mapped().respond(reply(status(due.mapped().request_id)));
    }
  });
}

void
standin_backend::member_changed()
{
  if (replication_) {
    replication_->replicate();
  }
  const auto due = std::exchange(watches_, {});
  for (const auto& [number, waiting] : due) {
    waiting.timer->cancel();
    waiting.respond(reply(status(waiting.request_id)));
  }
}

}
