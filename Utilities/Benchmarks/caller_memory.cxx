// Measures the resident memory of a running instance by the number of idle caller connections. Each
// connection sends one request, which is refused because its route does not exist, and then stays
// open.

#include "Net/http_connection.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace persimmonshelf;
namespace asio = boost::asio;

// Value in KiB of a line such as "VmRSS: 1234 kB" in /proc/PID/status; -1 if there is no such line.
std::int64_t
status_kib(const std::string& pid, const std::string& name)
{
  std::ifstream status("/proc/" + pid + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(name + ":", 0) == 0) {
      return std::strtoll(line.c_str() + name.size() + 1, nullptr, 10);
    }
  }
  return -1;
}

// Sends one request and reads its answer. Returns false on any error.
bool
exchange(asio::ip::tcp::socket& socket)
{
  static const std::string request = "POST /v1/routes/none/statement HTTP/1.1\r\nHost: instance\r\n"
                                     "Content-Length: 2\r\n\r\n{}";
  boost::system::error_code failure;
  asio::write(socket, asio::buffer(request), failure);
  if (failure) {
    return false;
  }
  std::string answer(4096, '\0');
  return socket.read_some(asio::buffer(answer), failure) > 0 && !failure;
}

int
run(const std::string& address_text, const std::string& pid, const std::vector<std::size_t>& sizes)
{
  tcp_address address;
  if (!parse_address(address_text, address)) {
    std::cerr << "caller_memory: expected IP:PORT, found " << address_text << "\n";
    return 2;
  }
  asio::io_context context;
  const asio::ip::tcp::endpoint target(asio::ip::make_address(address.address), address.port);
  std::vector<asio::ip::tcp::socket> open;
  std::int64_t before = 0;
  std::size_t count_before = 0;
  for (const auto size : sizes) {
    while (open.size() < size) {
      auto& socket = open.emplace_back(context);
      boost::system::error_code failure;
      socket.connect(target, failure);
      if (failure || !exchange(socket)) {
        std::cerr << "caller_memory: connection " << open.size() << " failed\n";
        return 1;
      }
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto resident = status_kib(pid, "VmRSS");
    std::cout << "connections " << size << " resident_kib " << resident;
    if (size > count_before && before > 0) {
      std::cout << " bytes_per_connection "
                << (resident - before) * 1024 / static_cast<std::int64_t>(size - count_before);
    }
    std::cout << std::endl;
    before = resident;
    count_before = size;
  }
  return 0;
}

}

int
main(int argc, char** argv)
{
  if (argc < 4) {
    std::cerr << "usage: caller_memory CALLER_ADDRESS PID CONNECTIONS...\n";
    return 2;
  }
  std::vector<std::size_t> sizes;
  for (int i = 3; i < argc; ++i) {
    sizes.push_back(std::strtoull(argv[i], nullptr, 10));
  }
  return run(argv[1], argv[2], sizes);
}
