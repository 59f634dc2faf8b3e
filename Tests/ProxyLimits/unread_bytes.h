#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace persimmonshelf {

// Bytes that arrived for the listener's connections and that its process has not read, by
// /proc/net/tcp. Only for IPv4 addresses.
std::size_t
unread_bytes(const boost::asio::ip::tcp::endpoint& listener);

}
