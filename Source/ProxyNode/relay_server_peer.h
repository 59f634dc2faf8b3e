#pragma once

#include "Base/guarded_call.h"
#include "ProxyNode/boot_clock.h"
#include "ProxyNode/relay_message.h"
#include "ProxyNode/relay_send_queue.h"
#include "ProxyNode/relay_server.h"
#include "platform/line_protocol.h"

#include <boost/asio/post.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonshelf {

// Connection from one other instance, with the sessions of its callers.
class relay_server::peer : public std::enable_shared_from_this<relay_server::peer>
{
public:
  using message_kind = relay_message::message_kind;

  peer(relay_server& server, boost::asio::ip::tcp::socket socket)
    : server_(server)
    , stream_(line_stream::create(std::move(socket), platform::line_limit_bytes + header_bytes))
    , queue_(stream_)
  {
  }

  void start()
  {
    stream_->set_timeouts(unacknowledged_timeout, keepalive_idle_time);
    std::weak_ptr<peer> weak = weak_from_this();
    const auto end = [weak](std::string_view cause) {
      return [weak, cause] {
        if (const auto self = weak.lock()) {
          self->stream_->close_for_limit(cause, "ended by a limit");
        }
      };
    };
    place_ = server_.places_.open(end("connections"), boot_now());
    if (server_.hooks_.open_account) {
      stream_->set_account(server_.hooks_.open_account(end("memory")));
      queue_ = relay_send_queue(stream_, [weak](std::uint64_t number) {
        const auto self = weak.lock();
        return self ? self->open_session_account(number) : memory_budget::account();
      });
    }
    stream_->start({ [weak](std::string_view line) {
                      if (const auto self = weak.lock()) {
                        self->handle_line(line);
                      }
                    },
                     [weak](const std::string&) {
                       if (const auto self = weak.lock()) {
                         self->handle_closed();
                       }
                     },
                     {},
                     [weak] {
                       if (const auto self = weak.lock()) {
                         self->queue_.pump();
                       }
                     },
                     server_.hooks_.limited });
    send(message_kind::version, server_.hooks_.known_version(), {});
    if (!server_.coordinator_address_.empty()) {
      send(message_kind::coordinator, server_.coordinator_token_, server_.coordinator_address_);
    }
    if (server_.leaving_) {
      send(message_kind::leaving, 0, {});
    }
  }

  // Sends nothing if the text cannot be sent: the next message of the kind states the same again.
  void send(message_kind kind, std::uint64_t number, std::string_view text)
  {
    if (const auto line = encode_relay_message({ kind, number, std::string(text) })) {
      stream_->write(line.value());
    } else {
      server_.record_limit(line_end_cause);
    }
  }

  void tick(instant now)
  {
    stream_->tick(now);
    if (!stream_->is_open()) {
      return;
    }
    if (!is_instance_) {
      place_.set_incomplete(stream_->last_progress_at());
    }
    for (const auto& number : session_numbers()) {
      if (const auto found = sessions_.find(number); found != sessions_.end()) {
        const auto session = found->second;
        run_session(number, {}, [&] { session.tick(now); });
      }
    }
  }

  void close_inactive_sessions(bool include_transactions)
  {
    for (const auto& number : session_numbers()) {
      const auto found = sessions_.find(number);
      if (found != sessions_.end() &&
          (found->second.idle() || (include_transactions && found->second.between_statements()))) {
        const auto session = found->second;
        session.disconnect();
        end_session(number, true);
      }
    }
  }

  void give_up()
  {
    for (const auto& number : session_numbers()) {
      if (const auto found = sessions_.find(number); found != sessions_.end()) {
        const auto session = found->second;
        if (session.give_up) {
          run_session(number, {}, session.give_up);
        }
        session.disconnect();
        end_session(number, true);
      }
    }
  }

  bool flushed() const { return stream_->flushed() && queue_.empty(); }
  std::size_t session_count() const { return sessions_.size(); }

private:
  static constexpr duration unacknowledged_timeout = std::chrono::milliseconds(2000);
  static constexpr duration keepalive_idle_time = std::chrono::seconds(2);
  // Kind, number and space before a caller's message.
  static constexpr std::size_t header_bytes = 32;
  static constexpr std::string_view line_end = "\r\n";
  // Counted with the limits: a text that would have become two messages.
  static constexpr std::string_view line_end_cause = "line_end_in_message";
  // Answers of one session that may wait for the connection, in bytes. Longer answers are not
  // passed to callers either.
  static constexpr std::size_t session_queue_limit_bytes = 4 << 20;

  std::vector<std::uint64_t> session_numbers() const
  {
    std::vector<std::uint64_t> numbers;
    numbers.reserve(sessions_.size());
    for (const auto& [number, session] : sessions_) {
      numbers.push_back(number);
    }
    return numbers;
  }

  void handle_line(std::string_view line)
  {
    const auto self = shared_from_this();
    const auto parsed = parse_relay_message(line);
    if (!parsed) {
      stream_->close();
      handle_closed();
      return;
    }
    if (!std::exchange(is_instance_, true)) {
      // What waits on the connection counts, but belongs to many sessions, which have accounts of
      // their own. Closing it would end them all.
      if (server_.hooks_.open_account) {
        stream_->set_account(server_.hooks_.open_account({}));
      }
      place_.set_complete();
    }
    const auto& message = parsed.value();
    switch (message.kind) {
      case message_kind::version:
        server_.hooks_.version_received(message.number);
        return;
      case message_kind::ping:
        send(message_kind::pong, message.number, {});
        return;
      case message_kind::open:
      case message_kind::open_without_redirect:
        open_session(message);
        return;
      case message_kind::data:
        if (const auto found = sessions_.find(message.number); found != sessions_.end()) {
          const auto session = found->second;
          run_session(message.number, message.text, [&] { session.handle_line(message.text); });
        }
        return;
      case message_kind::close:
        if (const auto found = sessions_.find(message.number); found != sessions_.end()) {
          const auto session = std::move(found->second);
          sessions_.erase(found);
          queue_.discard(message.number);
          session.disconnect();
        }
        return;
      case message_kind::pong:
      case message_kind::coordinator:
      case message_kind::leaving:
      case message_kind::redirect:
        // Only carriers send these kinds.
        return;
    }
  }

  void open_session(const relay_message& message)
  {
    if (message.kind == message_kind::open) {
      if (const auto routing_key = server_.hooks_.redirect_key(message.text)) {
        queue(message_kind::redirect, message.number, *routing_key);
        return;
      }
    }
    std::weak_ptr<peer> weak = weak_from_this();
    const auto number = message.number;
    const auto session =
      server_.hooks_.begin_session({ [weak, number](std::string_view text) {
                                      if (const auto self = weak.lock()) {
                                        self->write_lines(number, text);
                                      }
                                    },
                                     [weak, number] {
                                       if (const auto self = weak.lock()) {
                                         self->end_session(number, false);
                                       }
                                     },
                                     [weak, number] {
                                       if (const auto self = weak.lock()) {
                                         self->end_session_for_limit(number, "memory");
                                       }
                                     } });
    sessions_[number] = session;
    run_session(number, message.text, [&] { session.handle_line(message.text); });
  }

  // Runs a handler of one session. An exception ends this session only, not those of the other
  // callers on the same connection.
  template<typename function>
  void run_session(std::uint64_t number, std::string_view line, const function& handler)
  {
    if (const auto failure = guarded_call(handler)) {
      server_.hooks_.session_failed(line, *failure);
      if (const auto found = sessions_.find(number); found != sessions_.end()) {
        const auto session = found->second;
        end_session(number, false);
        session.disconnect();
      }
    }
  }

  void write_lines(std::uint64_t number, std::string_view text)
  {
    while (!text.empty()) {
      const auto end = text.find(line_end);
      queue(message_kind::data, number, text.substr(0, end));
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + line_end.size());
    }
    if (queue_.bytes_of(number) > session_queue_limit_bytes) {
      end_session_for_limit(number, "send_queue_full");
    }
  }

  void queue(message_kind kind, std::uint64_t number, std::string_view text)
  {
    if (auto line = encode_relay_message({ kind, number, std::string(text) })) {
      queue_.push(number, std::move(line.value()));
    } else {
      end_session_for_limit(number, line_end_cause);
    }
  }

  memory_budget::account open_session_account(std::uint64_t number)
  {
    return server_.hooks_.open_account([weak = weak_from_this(), number] {
      if (const auto self = weak.lock()) {
        self->end_session_for_limit(number, "memory");
      }
    });
  }

  // Ends one session, whose answers are not sent completely. Others go on.
  void end_session_for_limit(std::uint64_t number, std::string_view cause)
  {
    const auto self = shared_from_this();
    server_.record_limit(cause);
    queue_.discard(number);
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
      // The session has ended. Its last messages are replaced by the end.
      queue(message_kind::close, number, {});
      return;
    }
    const auto session = found->second;
    end_session(number, false);
    session.disconnect();
    // The session may be in the middle of its answer, so it is released after the present handler.
    boost::asio::post(stream_->socket().get_executor(), [session] {});
  }

  // `all_answered` is true if every message that this carrier handled has its answer.
  void end_session(std::uint64_t number, bool all_answered)
  {
    if (sessions_.erase(number) > 0) {
      queue(message_kind::close, number, all_answered ? all_answered_text : std::string_view());
    }
  }

  void handle_closed()
  {
    const auto self = shared_from_this();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& [number, session] : sessions) {
      session.disconnect();
    }
    server_.peers_.erase(self);
  }

  relay_server& server_;
  std::shared_ptr<line_stream> stream_;
  relay_send_queue queue_;
  connection_budget::place place_;
  // True once the peer sent a valid message.
  bool is_instance_ = false;
  std::map<std::uint64_t, session_handle> sessions_;
};

}
