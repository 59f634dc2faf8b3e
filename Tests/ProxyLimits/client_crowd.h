#pragma once

#include "proxy_fleet.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace persimmonshelf {

// What each client of a crowd does.
struct client_behaviour
{
  // First text of a client, by its number. Empty if there is none.
  std::function<std::string(std::size_t)> head{};
  // If true, the client reads until the proxy has answered the head with READY.
  bool awaits_ready = false;
  // Sent after the head.
  std::string text{};
  // Bytes that are sent at once.
  std::size_t piece = std::numeric_limits<std::size_t>::max();
  // Time between two pieces.
  std::chrono::milliseconds pause{ 0 };
  // If false, nothing more is read, and the system's receive buffer is small.
  bool reads = true;
  // Time between two reads of at most 64 KiB. Above zero, the receive buffer is small, too.
  std::chrono::milliseconds read_pause{ 0 };
};

// Clients with the same behaviour, which all connect at once and stay connected.
class client_crowd
{
public:
  client_crowd(proxy_fleet& fleet,
               std::vector<proxy_fleet::listener> listeners,
               std::size_t clients_per_listener,
               client_behaviour behaviour);
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  // True once no client has connected, sent or received anything for some time.
  bool is_settled() const;

  // Closes the connections that are still open.
  void close();

private:
  struct state;
  std::shared_ptr<state> state_;
};

// Lets the crowd do what it does, then checks that ordinary requests are answered while the crowd
// is connected and after it left, and that the instances stayed below their bounds.
void
check_crowd(proxy_fleet& fleet,
            const std::vector<proxy_fleet::listener>& listeners,
            std::size_t clients_per_listener,
            client_behaviour behaviour);

}
