#pragma once

#include "Base/error.h"
#include "Wire/peer.pb.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmonshelf {

// Message counters of a transport since its creation.
struct peer_transport_counts
{
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  // Messages that were not sent because there was no connection, the queue was full, the message
  // was over the limit or the address was invalid.
  std::uint64_t refused = 0;
  // Received messages that were dropped because they were not exactly one envelope.
  std::uint64_t malformed = 0;
};

// ZeroMQ transport between instances, used on the thread of one io_context. Messages can be lost,
// but are never duplicated and never held back for a later connection to the same address.
class peer_transport
{
public:
  using receive_handler = std::function<void(wire::envelope)>;

  // Larger messages are neither sent nor accepted.
  static constexpr std::size_t message_limit_bytes = 4 << 20;

  // Binds to `bind_address` in the form "IP:port"; port 0 selects a free port. Fails with
  // address_unavailable. `receive` is called on the thread of `context` for each envelope.
  static result<std::unique_ptr<peer_transport>> create(boost::asio::io_context& context,
                                                        const std::string& bind_address,
                                                        receive_handler receive);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // Queues a message for the peer at "IP:port". Returns false if the message was not queued, in
  // which case no part of it reaches the peer; true does not guarantee delivery. The first send to
  // an address starts the connection, and sends fail until it is established.
  bool send(const std::string& peer_address, const wire::envelope& message);

  // Closes the connection to a peer and drops messages that have not been transmitted.
  void disconnect(const std::string& peer_address);

  // The bound address, with the port that was selected for port 0.
  const std::string& address() const;
  const peer_transport_counts& counts() const;

private:
  struct state;
  explicit peer_transport(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

}
