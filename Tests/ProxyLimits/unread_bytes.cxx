#include "unread_bytes.h"

#include <arpa/inet.h>

#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>

namespace persimmonshelf {

namespace {

// State of a listening socket, whose receive queue counts connections.
constexpr const char* listening_state = "0A";
constexpr int hexadecimal = 16;

// The address as the system shows it: the IP address in network byte order, and the port.
std::string
shown_address(const boost::asio::ip::tcp::endpoint& endpoint)
{
  std::ostringstream text;
  text << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
       << htonl(endpoint.address().to_v4().to_ulong()) << ':' << std::setw(4) << endpoint.port();
  return text.str();
}

}

std::size_t
unread_bytes(const boost::asio::ip::tcp::endpoint& listener)
{
  const auto local = shown_address(listener);
  std::ifstream table("/proc/net/tcp");
  std::size_t total = 0;
  for (std::string line; std::getline(table, line);) {
    // Number, local address, remote address, state, and the lengths of both queues.
    std::istringstream fields(line);
    std::string number;
    std::string address;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> address >> remote >> state >> queues;
    const auto colon = queues.find(':');
    if (address == local && state != listening_state && colon != std::string::npos) {
      total += std::stoull(queues.substr(colon + 1), nullptr, hexadecimal);
    }
  }
  return total;
}

}
