#include "ProxyNode/relay_server.h"

#include "ProxyNode/relay_server_peer.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

using boost::asio::ip::tcp;
using message_kind = relay_message::message_kind;
// Interval between two attempts to accept a connection while the system has no descriptors.
constexpr duration accept_retry_delay = std::chrono::milliseconds(100);

}

relay_server::relay_server(boost::asio::io_context& context, hooks callbacks)
  : acceptor_(context)
  , accept_timer_(context)
  , hooks_(std::move(callbacks))
  , places_(hooks_.connection_limit)
{
}

relay_server::~relay_server() = default;

result<std::unique_ptr<relay_server>>
relay_server::create(boost::asio::io_context& context, const tcp_address& address, hooks callbacks)
{
  std::unique_ptr<relay_server> created(new relay_server(context, std::move(callbacks)));
  boost::system::error_code failure;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address.address, failure),
                               address.port);
  auto& acceptor = created->acceptor_;
  acceptor.open(endpoint.protocol(), failure);
  acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  // Accepted sockets inherit the sizes.
  acceptor.set_option(
    boost::asio::socket_base::receive_buffer_size(line_stream::instance_buffer_bytes), failure);
  acceptor.set_option(
    boost::asio::socket_base::send_buffer_size(line_stream::instance_buffer_bytes), failure);
  acceptor.bind(endpoint, failure);
  if (!failure) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(result_code::address_unavailable,
                format_address(address) + ": " + failure.message());
  }
  created->accept();
  return created;
}

void
relay_server::accept()
{
  acceptor_.async_accept([this](const boost::system::error_code& failure, tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted) {
      return;
    }
    if (failure) {
      record_limit("accept_failed");
      static_cast<void>(places_.close_incomplete());
      accept_later();
      return;
    }
    if (places_.make_room()) {
      const auto created = std::make_shared<peer>(*this, std::move(socket));
      peers_.insert(created);
      created->start();
    } else {
      record_limit("too_many_connections");
      socket.close();
    }
    accept();
  });
}

// The system has no descriptors now. An immediate attempt would fail as well and use the processor.
void
relay_server::accept_later()
{
  accept_timer_.expires_after(accept_retry_delay);
  accept_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      accept();
    }
  });
}

void
relay_server::record_limit(std::string_view cause) const
{
  if (hooks_.limited) {
    hooks_.limited(cause);
  }
}

void
relay_server::tick(instant now)
{
  const auto current = peers_;
  for (const auto& entry : current) {
    entry->tick(now);
  }
}

void
relay_server::send_version(std::uint64_t version)
{
  const auto current = peers_;
  for (const auto& entry : current) {
    entry->send(message_kind::version, version, {});
  }
}

void
relay_server::send_coordinator(std::uint64_t token, const std::string& address)
{
  coordinator_token_ = token;
  coordinator_address_ = address;
  const auto current = peers_;
  for (const auto& entry : current) {
    entry->send(message_kind::coordinator, token, address);
  }
}

void
relay_server::announce_leaving()
{
  leaving_ = true;
  const auto current = peers_;
  for (const auto& entry : current) {
    entry->send(message_kind::leaving, 0, {});
  }
}

void
relay_server::close_inactive_sessions(bool include_transactions)
{
  const auto current = peers_;
  for (const auto& entry : current) {
    entry->close_inactive_sessions(include_transactions);
  }
}

void
relay_server::give_up()
{
  const auto current = peers_;
  for (const auto& entry : current) {
    entry->give_up();
  }
}

bool
relay_server::flushed() const
{
  return std::all_of(
    peers_.begin(), peers_.end(), [](const auto& entry) { return entry->flushed(); });
}

std::size_t
relay_server::session_count() const
{
  std::size_t count = 0;
  for (const auto& entry : peers_) {
    count += entry->session_count();
  }
  return count;
}

}
