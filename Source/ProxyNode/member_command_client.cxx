#include "ProxyNode/member_command_client.h"

#include "platform/line_protocol.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace persimmonshelf {

namespace {

// Covers the connection set-up, the wait for a free slot and the answer.
constexpr duration command_timeout = std::chrono::milliseconds(450);

// A command in flight. Ends with the first of: the answer, a closed connection, the timeout.
struct pending_command
{
  std::function<void(std::optional<member_status>)> done;
  std::shared_ptr<member_connection> connection;
  std::unique_ptr<boost::asio::steady_timer> timer;

  void finish(std::optional<member_status> status)
  {
    if (!done) {
      return;
    }
    const auto report = std::exchange(done, {});
    timer->cancel();
    if (connection) {
      connection->close();
    }
    report(status);
  }
};

std::optional<member_status>
status_of(const member_reply& reply)
{
  if (reply.lost || reply.answer.error || reply.answer.rows.empty()) {
    return std::nullopt;
  }
  const auto parsed = platform::parse_member_status(reply.answer.rows.front());
  return parsed ? std::optional<member_status>(parsed.value()) : std::nullopt;
}

}

member_command_client::member_command_client(boost::asio::io_context& context)
  : context_(context)
{
}

void
member_command_client::execute(const listed_member& member,
                               const member_command& command,
                               std::function<void(std::optional<member_status>)> done)
{
  const auto pending = std::make_shared<pending_command>();
  pending->done = std::move(done);
  pending->timer = std::make_unique<boost::asio::steady_timer>(context_);
  pending->timer->expires_after(command_timeout);
  pending->timer->async_wait([pending](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      pending->finish(std::nullopt);
    }
  });
  std::weak_ptr<pending_command> weak = pending;
  pending->connection =
    member_connection::create(context_,
                              { member.address, member.group, "", member.id.get() },
                              { [weak, command] {
                                 const auto open = weak.lock();
                                 if (!open || !open->connection) {
                                   return;
                                 }
                                 open->connection->send(command, [weak](const member_reply& reply) {
                                   if (const auto current = weak.lock()) {
                                     current->finish(status_of(reply));
                                   }
                                 });
                               },
                                [weak](bool, const std::string&) {
                                  if (const auto open = weak.lock()) {
                                    open->finish(std::nullopt);
                                  }
                                } });
  pending->connection->open(command_timeout);
}

}
