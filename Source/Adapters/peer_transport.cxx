#include "Adapters/peer_transport.h"

#include "Adapters/peer_frame.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

// A short queue makes sends to a slow peer fail early instead of delivering outdated messages.
constexpr int max_queued_messages = 256;
// Detects a peer that disappeared without closing its connection.
constexpr int heartbeat_interval_ms = 1000;
constexpr int heartbeat_timeout_ms = 3000;
constexpr int connect_timeout_ms = 1000;
constexpr int reconnect_interval_ms = 50;
constexpr int max_reconnect_interval_ms = 1000;
// Each peer uses one socket. The ZeroMQ default of 1023 leaves too little margin for the planned
// 530 instances.
constexpr int max_sockets = 4096;
constexpr int max_receives_per_wakeup = 64;
constexpr std::string_view endpoint_scheme = "tcp://";

void
set_common_options(zmq::socket_t& socket)
{
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, max_queued_messages);
  socket.set(zmq::sockopt::rcvhwm, max_queued_messages);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(peer_transport::message_limit_bytes));
  socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
  socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
  socket.set(zmq::sockopt::heartbeat_ttl, heartbeat_timeout_ms);
}

}

struct peer_transport::state : std::enable_shared_from_this<peer_transport::state>
{
  state(asio::io_context& context_in, receive_handler receive_in)
    : context(context_in)
    , router(zmq_context, zmq::socket_type::router)
    , descriptor(context_in)
    , receive(std::move(receive_in))
  {
  }

  void wait_readable();
  void receive_available();
  void receive_one(zmq::message_t first);
  zmq::socket_t& get_or_create_dealer(const std::string& peer_address);

  asio::io_context& context;
  zmq::context_t zmq_context{ 1, max_sockets };
  zmq::socket_t router;
  std::unordered_map<std::string, zmq::socket_t> dealers;
  // Waits on the file descriptor of the router, which ZeroMQ owns.
  asio::posix::stream_descriptor descriptor;
  receive_handler receive;
  std::string address;
  peer_transport_counts counts;
  bool stopped = false;
};

void
peer_transport::state::wait_readable()
{
  descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                        [self = shared_from_this()](error_code failure) {
                          if (!failure && !self->stopped) {
                            self->receive_available();
                          }
                        });
}

void
peer_transport::state::receive_available()
{
  // The descriptor is edge-triggered: it does not become readable again for messages that were left
  // in the socket, so all messages must be received before the next wait. A long burst continues in
  // a posted handler, which gives other handlers a turn.
  for (int i = 0; i < max_receives_per_wakeup; ++i) {
    if ((router.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
      wait_readable();
      return;
    }
    zmq::message_t part;
    if (router.recv(part, zmq::recv_flags::dontwait)) {
      receive_one(std::move(part));
    }
    if (stopped) {
      return;
    }
  }
  asio::post(context, [self = shared_from_this()] {
    if (!self->stopped) {
      self->receive_available();
    }
  });
}

void
peer_transport::state::receive_one(zmq::message_t first)
{
  // The first part is the sender's identity, which the router socket adds.
  zmq::message_t part = std::move(first);
  zmq::message_t body;
  int parts = 1;
  while (part.more()) {
    zmq::message_t next;
    if (!router.recv(next, zmq::recv_flags::dontwait)) {
      break;
    }
    ++parts;
    part = std::move(next);
    if (parts == 2) {
      body.copy(part);
    }
  }
  std::optional<wire::envelope> message;
  if (parts == 2) {
    message = decode_frame(body.to_string_view(), message_limit_bytes);
  }
  if (!message) {
    ++counts.malformed;
    return;
  }
  ++counts.received;
  receive(std::move(*message));
}

zmq::socket_t&
peer_transport::state::get_or_create_dealer(const std::string& peer_address)
{
  const auto found = dealers.find(peer_address);
  if (found != dealers.end()) {
    return found->second;
  }
  zmq::socket_t dealer(zmq_context, zmq::socket_type::dealer);
  set_common_options(dealer);
  // With this option ZeroMQ accepts messages only for an established connection and drops them when
  // it closes. Without it, a message could be sent after its send was reported as failed.
  dealer.set(zmq::sockopt::immediate, 1);
  dealer.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
  dealer.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
  dealer.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
  dealer.connect(std::string(endpoint_scheme) + peer_address);
  return dealers.emplace(peer_address, std::move(dealer)).first->second;
}

peer_transport::peer_transport(std::shared_ptr<state> shared)
  : state_(std::move(shared))
{
}

peer_transport::~peer_transport()
{
  state_->stopped = true;
  // ZeroMQ owns the descriptor and closes it.
  state_->descriptor.release();
  state_->dealers.clear();
  state_->router.close();
  // Closing a socket is asynchronous in ZeroMQ; terminating the context waits until the listener is
  // closed. Otherwise a peer could still connect and its messages would be lost.
  state_->zmq_context.close();
}

result<std::unique_ptr<peer_transport>>
peer_transport::create(asio::io_context& context,
                       const std::string& bind_address,
                       receive_handler receive)
{
  try {
    auto shared = std::make_shared<state>(context, std::move(receive));
    set_common_options(shared->router);
    auto endpoint = std::string(endpoint_scheme) + bind_address;
    if (endpoint.ends_with(":0")) {
      endpoint.back() = '*';
    }
    shared->router.bind(endpoint);
    shared->address =
      shared->router.get(zmq::sockopt::last_endpoint).substr(endpoint_scheme.size());
    shared->descriptor.assign(shared->router.get(zmq::sockopt::fd));
    // A message may arrive before the first wait.
    shared->receive_available();
    return std::unique_ptr<peer_transport>(new peer_transport(std::move(shared)));
  } catch (const std::exception& failure) {
    return fail(result_code::address_unavailable, bind_address + ": " + failure.what());
  }
}

bool
peer_transport::send(const std::string& peer_address, const wire::envelope& message)
{
  auto& counts = state_->counts;
  if (message.ByteSizeLong() > message_limit_bytes) {
    ++counts.refused;
    return false;
  }
  try {
    auto& dealer = state_->get_or_create_dealer(peer_address);
    zmq::message_t body(encode_frame(message));
    auto accepted = dealer.send(body, zmq::send_flags::dontwait);
    if (!accepted) {
      // ZeroMQ processes connection state changes only occasionally during a send. Reading the
      // events forces it to process them.
      static_cast<void>(dealer.get(zmq::sockopt::events));
      accepted = dealer.send(body, zmq::send_flags::dontwait);
    }
    ++(accepted ? counts.sent : counts.refused);
    return accepted.has_value();
  } catch (const zmq::error_t&) {
    // The address is invalid or no socket is left; ZeroMQ did not accept the message.
    ++counts.refused;
    return false;
  }
}

void
peer_transport::disconnect(const std::string& peer_address)
{
  state_->dealers.erase(peer_address);
}

const std::string&
peer_transport::address() const
{
  return state_->address;
}

const peer_transport_counts&
peer_transport::counts() const
{
  return state_->counts;
}

}
