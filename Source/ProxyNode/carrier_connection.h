#pragma once

#include "Proxy/carriers.h"
#include "ProxyNode/line_stream.h"
#include "ProxyNode/relay_message.h"
#include "ProxyNode/relay_send_queue.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonshelf {

// Connection to one carrier, shared by many sessions. Reconnects automatically and treats a carrier
// that answers no ping as failed.
class carrier_connection : public std::enable_shared_from_this<carrier_connection>
{
public:
  // Why a session ended.
  enum class end_reason : std::uint8_t
  {
    // The connection failed. Statements without an answer may have run.
    connection_failed,
    // The carrier ended the session. Statements without an answer may have run.
    ended,
    // The carrier ended the session, and statements without an answer have not reached it.
    ended_all_answered,
  };
  // Handlers of one session. They are released after `closed` or `redirected` was called or the
  // session was closed on this side.
  struct stream_handlers
  {
    // Receives a message to the caller, without its end of line.
    std::function<void(std::string_view line)> line;
    // The carrier sent the routing key of this session instead of running it.
    std::function<void(const std::string& routing_key)> redirected;
    std::function<void(end_reason)> closed;
  };
  struct hooks
  {
    std::function<void(std::uint64_t version)> version_received;
    // The carrier announced a coordinator.
    std::function<void(std::uint64_t token, const std::string& address)> coordinator_received;
    std::function<void(bool up, const std::string& reason)> state_changed;
    // Returns the version to send first on a new connection.
    std::function<std::uint64_t()> highest_version;
  };

  static std::shared_ptr<carrier_connection> create(boost::asio::io_context& context,
                                                    std::string address,
                                                    hooks callbacks);

  void tick(instant now);

  // True if sessions may begin on the carrier.
  bool usable() const { return up_ && !leaving(); }
  bool leaving() const { return leaving_ || draining_; }

  std::uint64_t open(const std::string& first_line,
                     bool without_redirect,
                     stream_handlers callbacks);
  void send(std::uint64_t stream, std::string_view line);
  void close(std::uint64_t stream);
  void send_version(std::uint64_t version);

  // Begins no further sessions, and closes the connection when the last one ends. Used when the
  // carrier is no longer in the plan.
  void drain();
  bool is_closed() const { return closed_; }

private:
  carrier_connection(boost::asio::io_context& context, std::string address, hooks callbacks);
  void connect(instant now);
  void handle_connected(const boost::system::error_code& failure);
  void handle_line(std::string_view line);
  void handle_failure(const std::string& reason);
  void write(relay_message::message_kind kind, std::uint64_t number, std::string_view text);
  void queue(relay_message::message_kind kind, std::uint64_t session, std::string_view text);

  boost::asio::io_context& context_;
  std::string address_;
  hooks hooks_;
  std::shared_ptr<line_stream> stream_;
  // Messages of sessions that wait for the connection; empty while it is not up.
  std::optional<relay_send_queue> queue_;
  std::map<std::uint64_t, stream_handlers> sessions_;
  std::uint64_t last_stream_number_ = 0;
  std::uint64_t last_ping_number_ = 0;
  instant last_ping_at_{};
  // When the carrier last sent anything, or when the attempt to connect began.
  instant last_activity_at_{};
  // When the first of the present sessions was opened.
  instant in_use_since_{};
  instant retry_at_{};
  bool connecting_ = false;
  bool up_ = false;
  bool leaving_ = false;
  bool draining_ = false;
  bool closed_ = false;
};

}
