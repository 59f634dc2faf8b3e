#pragma once

#include "child_process.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Limits in the settings of each instance, which are also the bounds of the tests. The memory is
// below that of the smallest machine (112 MB); the descriptors are half of the default.
constexpr std::size_t memory_limit_mb = 96;
constexpr std::size_t descriptor_limit = 512;
// Upper limit of each wait. Waits end on conditions, so it matters only to a failing test.
constexpr std::chrono::seconds wait_limit{ 60 };

// The database that the instances serve and a key for it.
inline const std::string start_line = "START db1 key1\r\n";

// Stand-ins for the store and two members, and instances of persimmonshelf-proxy, as processes on
// loopback addresses. The clients of the test run on `context`.
class proxy_fleet
{
public:
  enum class listener : std::uint16_t
  {
    callers,
    readiness,
    relay,
    peers,
    metrics,
  };
  // One instance, which runs the sessions of its callers.
  static std::unique_ptr<proxy_fleet> create_single();
  // Two carriers and a smaller instance, which relays the sessions of its callers to them. Each
  // zone has two carriers, so a relaying instance needs two others.
  static std::unique_ptr<proxy_fleet> create_relayed();
  ~proxy_fleet();
  proxy_fleet(const proxy_fleet&) = delete;
  proxy_fleet& operator=(const proxy_fleet&) = delete;

  // Address of a listener of the instance that callers use, which is the last one.
  boost::asio::ip::tcp::endpoint endpoint(listener kind) const;

  // Runs the clients until the condition holds. Returns false after `wait_limit`. Records the open
  // descriptors of the instances meanwhile.
  bool run_until(const std::function<bool()>& condition);

  // Sends `request` on a new session and returns the answer with its READY. Callers may have to
  // retry, so that sessions are begun until one is answered with DONE. Empty after `wait_limit`.
  std::optional<std::string> request(const std::string& text);

  // Begins a session with the caller's instance and returns its connection. Empty after
  // `wait_limit`.
  std::shared_ptr<boost::asio::ip::tcp::socket> begin_session();

  // Sends `request` on the session and returns the answer with its READY. Empty if the connection
  // ends first, and after `wait_limit`.
  std::optional<std::string> request_on(
    const std::shared_ptr<boost::asio::ip::tcp::socket>& session,
    const std::string& text);

  // Most memory that the caller's instance had resident together with the bytes that callers sent
  // and that it had not read, in bytes.
  std::size_t peak_held_bytes() const { return peak_held_bytes_; }

  // Checks with doctest that the instances run and have stayed below the bounds, and prints the
  // figures.
  void check_bounds();

  boost::asio::io_context context;

private:
  // True once the caller's instance has a plan by which it relays sessions.
  bool relays();
  explicit proxy_fleet(std::size_t instances);
  boost::asio::ip::tcp::endpoint endpoint_of(std::size_t instance, listener kind) const;
  void start_platform();
  void start_instance(double processor_cores);
  void sample();
  // Sends the message and returns what arrives until READY, empty if the connection ends first.
  static boost::asio::awaitable<std::string> exchange(
    std::shared_ptr<boost::asio::ip::tcp::socket> socket,
    std::string message);
  // One attempt to begin a session and to send the query on it. Sets the answer, which is empty if
  // the session was refused or closed.
  static boost::asio::awaitable<void> attempt(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                                              boost::asio::ip::tcp::endpoint endpoint,
                                              std::string query,
                                              std::shared_ptr<std::optional<std::string>> answer);
  // Repeats the attempt until its answer contains `expected`.
  std::shared_ptr<boost::asio::ip::tcp::socket> repeat_attempts(const std::string& query,
                                                                const std::string& expected,
                                                                std::string& answer);

  std::size_t instance_count_;
  std::string folder_;
  std::uint16_t base_port_ = 0;
  std::unique_ptr<child_process> platform_;
  std::vector<std::unique_ptr<child_process>> instances_;
  // Most descriptors that each instance had open.
  std::vector<std::size_t> peak_descriptors_;
  std::size_t peak_held_bytes_ = 0;
  std::chrono::steady_clock::time_point next_held_sample_{};
};

}
