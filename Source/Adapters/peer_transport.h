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

// What a transport did since it was created.
struct peer_transport_counts
{
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  // Sends that were refused: no connection, a full queue or a message over the limit.
  std::uint64_t refused = 0;
  // Received messages that were dropped because they are not one envelope.
  std::uint64_t malformed = 0;
};

// ZeroMQ transport between instances, on one io_context's thread. Messages may be lost, but never
// duplicated or kept for a later connection to the same address.
class peer_transport
{
public:
  using receive_handler = std::function<void(wire::envelope)>;

  // Larger messages are not sent, and not accepted from peers.
  static constexpr std::size_t message_limit_bytes = 4 << 20;

  // Binds to `bind_address` ("IP:port"; port 0 takes a free one). Fails with address_unavailable.
  // `receive` is called on the io_context's thread for each envelope.
  static result<std::unique_ptr<peer_transport>> create(boost::asio::io_context& context,
                                                        const std::string& bind_address,
                                                        receive_handler receive);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // Hands a message over for the peer at "IP:port". False if the message was certainly not handed
  // over, so that nothing of it can reach the peer; true says nothing about delivery. The first
  // send to an address starts the connection, and sends fail until it is established.
  bool send(const std::string& peer_address, const wire::envelope& message);

  // Closes the connection to a peer and drops what was not transmitted yet.
  void disconnect(const std::string& peer_address);

  // The bound address with its real port.
  const std::string& address() const;
  const peer_transport_counts& counts() const;

private:
  struct state;
  explicit peer_transport(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

}
