#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace persimmonshelf::testing {

// Two connected sockets on loopback.
struct socket_pair
{
  // With a buffer size, the kernel holds only about so many bytes in each direction.
  explicit socket_pair(boost::asio::io_context& context, int buffer_bytes = 0)
    : near(context)
    , far(context)
  {
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    far.open(tcp::v4());
    if (buffer_bytes > 0) {
      far.set_option(boost::asio::socket_base::receive_buffer_size(buffer_bytes));
    }
    far.connect(acceptor.local_endpoint());
    near = acceptor.accept();
    if (buffer_bytes > 0) {
      near.set_option(boost::asio::socket_base::send_buffer_size(buffer_bytes));
    }
  }

  boost::asio::ip::tcp::socket near;
  boost::asio::ip::tcp::socket far;
};

}
