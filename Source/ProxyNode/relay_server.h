#pragma once

#include "Base/error.h"
#include "Net/http_connection.h"
#include "ProxyNode/line_stream.h"
#include "ProxyNode/session_handle.h"
#include "Resources/connection_budget.h"
#include "Resources/memory_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Runs sessions whose callers are connected to other instances.
class relay_server
{
public:
  struct hooks
  {
    // Begins a session for a caller. Its first message follows through the handle.
    std::function<session_handle(caller_output)> begin_session;
    // Returns the routing key of the session if another instance should run it.
    std::function<std::optional<std::string>(const std::string& first_line)> redirect_key;
    // A caller of the other instance may have seen effects of this version.
    std::function<void(std::uint64_t version)> version_received;
    // Returns the newest configuration version that this instance has.
    std::function<std::uint64_t()> known_version;
    // An unexpected error ended a session while it handled this message of the caller. The message
    // is empty if the session's timer failed.
    std::function<void(std::string_view line, const std::string& what)> session_failed;
    // Opens the account for the bytes that a session or a new connection holds. Optional.
    std::function<memory_budget::account(std::function<void()> end)> open_account = {};
    // A connection or a session is closed because of a limit. Optional.
    std::function<void(std::string_view cause)> limited = {};
    // Number of instances that may be connected. The default is for fleets of any size.
    std::size_t connection_limit = 4096;
  };

  // Fails with address_unavailable if the address cannot be bound.
  static result<std::unique_ptr<relay_server>> create(boost::asio::io_context& context,
                                                      const tcp_address& address,
                                                      hooks callbacks);
  ~relay_server();

  void tick(instant now);
  // Sends the version to all connected instances. Must precede any answer under this version.
  void send_version(std::uint64_t version);
  // Sends the coordinator's address to all connected instances. Those without sessions rarely
  // receive it from a coordinator.
  void send_coordinator(std::uint64_t token, const std::string& address);
  // Announces to all connected instances that sessions should begin on other carriers and end here.
  void announce_leaving();
  // Ends sessions without a statement in flight. Sessions with an open transaction end only if
  // `include_transactions` is true.
  void close_inactive_sessions(bool include_transactions);
  // Answers the statements in flight with what is known about them, and ends all sessions.
  void give_up();
  // True if no data waits to be sent.
  bool flushed() const;
  std::size_t session_count() const;

private:
  class peer;
  relay_server(boost::asio::io_context& context, hooks callbacks);
  void accept();
  void accept_later();
  void record_limit(std::string_view cause) const;

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  hooks hooks_;
  connection_budget places_;
  std::set<std::shared_ptr<peer>> peers_;
  bool leaving_ = false;
  // Token and address of the coordinator. The address is empty if no coordinator is known.
  std::uint64_t coordinator_token_ = 0;
  std::string coordinator_address_;
};

}
